package platform

// Paths of the HTTP/1.1 binding, with their methods, bodies and responses; see
// docs/PROTOCOLS.md.
const (
	PathTxn       = "/v1/txn"       // POST Txn, Rows
	PathRows      = "/v1/rows"      // GET /{table}/{key}, Row; GET /{table}?prefix=, Rows
	PathObjects   = "/v1/objects"   // PUT and GET /{name}, octets
	PathInstances = "/v1/instances" // GET, InstanceList
)

// Rows is the response to a transaction or a scan.
type Rows struct {
	Rows []Row `json:"rows"`
}

// InstanceList is the response to an instance list call.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}

// Fault is the body of every response with a status other than 200.
type Fault struct {
	Error string `json:"error"`
}
