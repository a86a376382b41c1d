package rawtarget

const (
	// Whole is the end of a response with the body Body.
	Whole = "Content-Length: 5\r\n\r\n" + Body
	Body  = "whole"
)

// CompleteEarly returns responses that the target sends before it has read the request,
// and that are known to be complete, by name. head is the part of the head up to the
// fields that tell where the body ends; the body is Body.
func CompleteEarly(head string) map[string]Response {
	const lastResponse = "Connection: close\r\n"
	return map[string]Response{
		"length, reset":                     {Bytes: head + Whole, Early: true, End: Reset},
		"length, connection kept":           {Bytes: head + lastResponse + Whole, Early: true, End: Keep},
		"chunks, reset":                     {Bytes: head + "Transfer-Encoding: chunked\r\n\r\n5\r\n" + Body + "\r\n0\r\n\r\n", Early: true, End: Reset},
		"no length, orderly close":          {Bytes: head + "\r\n" + Body, Early: true, End: Close},
		"no length, orderly close, no read": {Bytes: head + lastResponse + "\r\n" + Body, Early: true, End: CloseUnread},
	}
}

// InvalidFields returns responses whose heads have an invalid field name, by kind.
// head is as in CompleteEarly.
func InvalidFields(head string) map[string]string {
	return map[string]string{
		"blank":                    head + "X Y: 1\r\n" + Whole,
		"blank before the colon":   head + "X : 1\r\n" + Whole,
		"blank after the length":   head + "Content-Length : 5\r\n\r\n" + Body + ", and more",
		"blank after the encoding": head + "Transfer-Encoding : chunked\r\n\r\n5\r\n" + Body + "\r\n0\r\n\r\n",
		"tab":                      head + "X\tY: 1\r\n" + Whole,
		"control byte":             head + "X\x01Y: 1\r\n" + Whole,
		"null":                     head + "X\x00: 1\r\n" + Whole,
		"carriage return":          head + "X\rY: 1\r\n" + Whole,
		"delete":                   head + "X\x7f: 1\r\n" + Whole,
		"no name":                  head + ": 1\r\n" + Whole,
		"in an interim response":   "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\n" + head + Whole,
	}
}
