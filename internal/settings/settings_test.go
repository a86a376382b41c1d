package settings

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const validSettings = `id = "n1"
region = "Ashanti"
availability_zone = "a1"
caller_address = "127.0.0.1:1"
target_address = "127.0.0.1:2"
link_address = "127.0.0.1:3"
gossip_address = "127.0.0.1:4"
admin_address = "127.0.0.1:5"
platform = "http://127.0.0.1:6"
`

// Guards against invalid settings that pass --check, so that the node fails
// only when it starts.
func TestParseRejectsInvalidSettings(t *testing.T) {
	_, err := Parse("s", []byte(validSettings))
	assert.NilError(t, err)
	for _, c := range []struct{ old, new, key string }{
		{"http://127.0.0.1:6", "ftp:x", "platform"},
		{`platform = "http://127.0.0.1:6"`, "", "platform"},
		{"127.0.0.1:3", "127.0.0.1:99999", "link_address"},
		{"127.0.0.1:5", "127.0.0.1:1", "admin_address"},
		{"127.0.0.1:5", "0.0.0.0:5", "advertise_admin"},
		{"127.0.0.1:2", "10.0.0.1:2", "target_address"},
		{"127.0.0.1:1", "localhost:1", "caller_address"},
		{`"n1"`, "5", "id"},
		{`"n1"`, `"` + strings.Repeat("n", 129) + `"`, "id"},
		{"platform", "seeds = [\"x\"]\nplatform", "seeds"},
		{"platform", "plattform", "plattform"},
	} {
		_, err := Parse("s", []byte(strings.Replace(validSettings, c.old, c.new, 1)))
		assert.ErrorContains(t, err, `key "`+c.key+`"`)
	}
	_, err = Parse("s", []byte("id = \"a\""))
	assert.Equal(t, strings.Count(err.Error(), "advertise"), 0, "keys with a default were reported as missing: %v", err)
}
