package xdsserver

import (
	"strings"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
)

// Request is one request of a node: the first of a stream, an ACK or a NACK.
type Request struct {
	Node            string
	VersionInfo     string // that the node runs
	ResponseNonce   string // of the response that it answers; "" is none
	AnsweredVersion string // version_info of that response
	State           string // "trial", "good" or "refused", from the node's metadata; "" if they have none
	ErrorDetail     string // of a NACK
	ReceivedAt      time.Time
}

// Requests returns the requests of all nodes so far, in the order of their arrival.
func (s *Server) Requests() []Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Request(nil), s.requests...)
}

// recordRequest records a request. The caller holds mu.
func (s *Server) recordRequest(from *stream, request *discovery.DiscoveryRequest) {
	recorded := Request{
		Node:            from.node,
		VersionInfo:     request.GetVersionInfo(),
		ResponseNonce:   request.GetResponseNonce(),
		AnsweredVersion: from.versionByNonce[request.GetResponseNonce()],
		ErrorDetail:     request.GetErrorDetail().GetMessage(),
		ReceivedAt:      time.Now(),
	}
	if fields := request.GetNode().GetMetadata().GetFields(); fields != nil {
		recorded.State = fields["state"].GetStringValue()
	}
	s.requests = append(s.requests, recorded)
}

// Answers returns how a node, "" for any, answered a version: "trial", "good" or "refused: REASON" for each request.
func (s *Server) Answers(node, versionInfo string) []string {
	var answers []string
	for _, request := range s.Requests() {
		if request.AnsweredVersion != versionInfo || node != "" && request.Node != node {
			continue
		}
		answer := request.State
		if request.ErrorDetail != "" {
			answer = "refused: " + request.ErrorDetail
		}
		answers = append(answers, answer)
	}
	return answers
}

// HasAnswer reports whether a node, "" for any, gave an answer to a version that begins with a prefix.
func (s *Server) HasAnswer(node, versionInfo, prefix string) bool {
	for _, answer := range s.Answers(node, versionInfo) {
		if strings.HasPrefix(answer, prefix) {
			return true
		}
	}
	return false
}
