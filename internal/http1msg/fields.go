package http1msg

// Names of the fields of PROTOCOL, in canonical form. They are on the wire; the constants have the terms of package
// balancer. Routes may name other fields for the same values.
const (
	FieldRequestID      = "X-Trace-Id"            // balancer.Request.ID, as the client's text
	FieldClass          = "X-Qos"                 // name of the class; without it the first part of the path
	FieldTenant         = "X-Customer"            // name of the tenant
	FieldObject         = "X-Object"              // what the request is about
	FieldIdempotencyKey = "Idempotency-Key"       // by which endpoints recognize a repeated request
	FieldDeadline       = "X-Expires-In-Ms"       // milliseconds that are left for the request
	FieldRetry          = "X-Second-Try"          // "1": the client repeats a request
	FieldWorkHint       = "X-Size-Hint"           // balancer.Request.WorkHint
	FieldNeverRan       = "X-Never-Ran"           // "1" in a 503 or 504 response: it was rejected before it ran
	FieldLoadReport     = "Endpoint-Load-Metrics" // load report of an endpoint, in a response
)
