package http1msg

// Names of the header fields that the document PROTOCOL specifies, in canonical form. The constants are named
// after terms of package balancer, and their values are the names on the wire. A route may configure other
// field names for the same information.
const (
	FieldRequestID      = "X-Trace-Id"            // balancer.Request.ID, as the client's text
	FieldClass          = "X-Qos"                 // name of the class; if absent, the first path segment is
	FieldTenant         = "X-Customer"            // name of the tenant
	FieldObject         = "X-Object"              // name of the object that the request concerns
	FieldIdempotencyKey = "Idempotency-Key"       // key by which endpoints recognize a repeated request
	FieldDeadline       = "X-Expires-In-Ms"       // milliseconds until the deadline of the request
	FieldRetry          = "X-Second-Try"          // "1": this request is a retry by the client
	FieldWorkHint       = "X-Size-Hint"           // balancer.Request.WorkHint
	FieldNeverRan       = "X-Never-Ran"           // "1" in a 503 or 504 response: the request did not run
	FieldLoadReport     = "Endpoint-Load-Metrics" // load report of an endpoint, in a response
)
