package loadgen

import "parsleyturn/internal/standin/target"

// serviceSpec describes one service of a deployment at a scale of 1.
type serviceSpec struct {
	name        string
	targets     int
	slots       int
	connections int
	routes      []target.Route
}

// deploymentSpec describes one of the deployments in docs/design.md, section 1.
type deploymentSpec struct {
	regions  [2]string
	services []serviceSpec
}

// deploymentSpecs has service times such that, at a scale of 0.1, browsing
// loads its service (directory, catalogo) to about 80% of its capacity at a
// multiplier of 1, and bookings or orders alone still fit at a multiplier of 4.
var deploymentSpecs = map[string]deploymentSpec{
	"akwaaba": {
		regions: [2]string{"Ashanti", "Greater Accra"},
		services: []serviceSpec{
			{"directory", 5, 100, 700, []target.Route{
				{PathPrefix: "/directory/", TimeMS: 40, Distribution: "lognormal", Sigma: 0.3, BodyBytes: 4 << 10},
			}},
			{"bookings", 4, 120, 800, []target.Route{
				{PathPrefix: "/bookings/", TimeMS: 60, Distribution: "lognormal", Sigma: 0.3, BodyBytes: 1 << 10,
					SubCalls: []target.SubCall{{Method: "GET", Path: "/directory/fitter"}, {Method: "PUT", Path: "/partners/deposit-{id}", BodyBytes: 512}}},
			}},
			{"reports", 4, 120, 800, []target.Route{
				{PathPrefix: "/reports/", TimeMS: 100, Distribution: "lognormal", Sigma: 0.3, BodyBytes: 200 << 10,
					SubCalls: []target.SubCall{{Method: "GET", Path: "/directory/rider"}}},
			}},
			{"partners", 4, 20, 200, []target.Route{
				{PathPrefix: "/partners/", TimeMS: 30, Distribution: "lognormal", Sigma: 0.3, BodyBytes: 512},
			}},
		},
	},
	"campanario": {
		regions: [2]string{"Centro", "Sur"},
		services: []serviceSpec{
			{"catalogo", 4, 70, 500, []target.Route{
				{PathPrefix: "/catalogo/", TimeMS: 25, Distribution: "lognormal", Sigma: 0.3, BodyBytes: 4 << 10},
			}},
			{"pedidos", 4, 70, 500, []target.Route{
				{PathPrefix: "/pedidos/", TimeMS: 40, Distribution: "lognormal", Sigma: 0.3, BodyBytes: 1 << 10,
					SubCalls: []target.SubCall{{Method: "GET", Path: "/catalogo/item"}, {Method: "PUT", Path: "/fundicion/cast-{id}", BodyBytes: 512}}},
			}},
			{"archivo", 4, 70, 500, []target.Route{
				{PathPrefix: "/archivo/", TimeMS: 120, Distribution: "lognormal", Sigma: 0.3, BodyBytes: 256 << 10,
					SubCalls: []target.SubCall{{Method: "GET", Path: "/catalogo/dealer"}}},
			}},
			{"fundicion", 4, 40, 300, []target.Route{
				{PathPrefix: "/fundicion/", TimeMS: 50, Distribution: "lognormal", Sigma: 0.3, BodyBytes: 512},
			}},
		},
	},
}
