// Package evacuationapi holds the types of the internal API for evacuations of failure domains.
// A replica that does not lead does nothing and names the leader in relay.HeaderNotLeader.
package evacuationapi

// Path is the path of the Evacuations on the internal API of a job replica. PUT of the path of
// a domain below it evacuates the domain, DELETE revokes the evacuation.
const Path = "/v1/evacuations"

// HeaderOperator names the operator who gives an order.
const HeaderOperator = "Geranium-Operator"

// Evacuations are the evacuations that are in force, and the audit records.
type Evacuations struct {
	// Replica is the name of the replica that answers, which leads.
	Replica string       `json:"replica"`
	InForce []Evacuation `json:"in_force"`
	// Records are the newest audit records, the oldest first.
	Records []Record `json:"records"`
}

// Evacuation is an evacuation that is in force.
type Evacuation struct {
	Domain string `json:"domain"`
	// Operator is who ordered it, empty if unknown.
	Operator string `json:"operator"`
	// SinceMS is a Unix time in milliseconds.
	SinceMS int64 `json:"since_ms"`
	// Workers is the number of registered workers in the domain.
	Workers int `json:"workers"`
}

// Record is the audit record of an order that changed something.
type Record struct {
	Number int64 `json:"number"`
	// AtMS is a Unix time in milliseconds.
	AtMS   int64  `json:"at_ms"`
	Domain string `json:"domain"`
	// Action is evacuated or revoked.
	Action   string `json:"action"`
	Operator string `json:"operator"`
	// Replica is the name of the replica that accepted the order.
	Replica string `json:"replica"`
}

// Order is the answer to an order once it is in force.
type Order struct {
	Domain    string `json:"domain"`
	Evacuated bool   `json:"evacuated"`
}
