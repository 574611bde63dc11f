package xdsclient_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"google.golang.org/grpc/credentials"
	"google.golang.org/protobuf/types/known/anypb"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"dunlinsail/internal/config"
	"dunlinsail/internal/decide/rollout"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/fake/scriptedpeer"
	"dunlinsail/internal/fake/xdsserver"
	"dunlinsail/internal/stricttoml"
	"dunlinsail/internal/xdsclient"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testClient is a running client that records the updates it receives.
type testClient struct {
	*xdsclient.Client
	mu       sync.Mutex
	received []xdsclient.Update
}

// updates returns the updates received so far.
func (client *testClient) updates() []xdsclient.Update {
	client.mu.Lock()
	defer client.mu.Unlock()
	return append([]xdsclient.Update(nil), client.received...)
}

// controlPlaneSettings returns plaintext settings for a server at addr, with a short backoff.
func controlPlaneSettings(addr string) config.ControlPlane {
	return config.ControlPlane{
		Address:         addr,
		Plaintext:       true,
		MaxResponseSize: stricttoml.Size{Bytes: 1 << 20},
		MaxBackoff:      stricttoml.Duration{Duration: 100 * time.Millisecond},
	}
}

// startClient runs a client until the test ends. applied is the version of the control plane that it reports as
// running.
func startClient(t *testing.T, settings config.ControlPlane, applied *rollout.ID) *testClient {
	t.Helper()
	client := &testClient{}
	xdsClient, err := xdsclient.New(xdsclient.Options{
		Settings:     settings,
		InstanceName: "i-1",
		Zone:         "a",
		Applied:      applied,
		Log:          scriptedpeer.DiscardLog,
		OnUpdate: func(update xdsclient.Update) {
			client.mu.Lock()
			defer client.mu.Unlock()
			client.received = append(client.received, update)
		},
	})
	require.NoError(t, err)
	client.Client = xdsClient
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		client.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return client
}

// startServer runs an xDS server until the test ends.
func startServer(t *testing.T, options xdsserver.Options) *xdsserver.Server {
	t.Helper()
	server, err := xdsserver.Start(options)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server
}

// classResource returns a valid resource for a request class with a priority weight.
func classResource(name string, weight float64) config.Resource {
	return config.Resource{
		Kind:   "class",
		Name:   name,
		Fields: map[string]any{"repeat": "safe", "aim": "100ms", "give_up": "1s", "worth": weight},
	}
}

// A client receives a version as it was sent, and its ACKs and NACKs of the version reach the server with the nonce
// of the response.
func TestUpdateAndAnswers(t *testing.T) {
	server := startServer(t, xdsserver.Options{})
	if err := server.SetResources("e/7", []config.Resource{
		classResource("look", 2),
		{Kind: "requests", Fields: map[string]any{"open": 50.0}},
	}, map[string]any{"rollback": true, "about": "try"}); err != nil {
		t.Fatal(err)
	}
	client := startClient(t, controlPlaneSettings(server.Address), &rollout.ID{Epoch: "e", Number: 6})
	scriptedpeer.Eventually(t, "the version", func() bool { return len(client.updates()) == 1 })
	update := client.updates()[0]
	if update.DecodeError != "" || !update.Version.Rollback ||
		update.Version.Digest != config.Digest(update.Resources) {
		t.Errorf("%+v", update)
	}
	if update.Version.ID != (rollout.ID{Source: rollout.SourceControlPlane, Epoch: "e", Number: 7}) {
		t.Errorf("version %+v", update.Version)
	}
	if len(update.Resources) != 2 || update.Resources[0].Name != "look" {
		t.Fatalf("resources %+v", update.Resources)
	}
	if fields := update.Resources[0].Fields; fields["worth"] != 2.0 || fields["name"] != nil {
		t.Errorf("fields %v", fields)
	}
	client.Ack(update.Version.ID, false)
	client.Ack(update.Version.ID, true)
	client.Nack(update.Version.ID, "it did harm", &rollout.ID{Epoch: "e", Number: 6})
	scriptedpeer.Eventually(t, "the answers", func() bool { return len(server.Requests()) == 4 })
	requests := server.Requests()
	if requests[0].VersionInfo != "e/6" || requests[0].Node != "i-1" || requests[0].ResponseNonce != "" {
		t.Errorf("first %+v", requests[0])
	}
	for i, want := range []xdsserver.Request{
		{State: "trial", VersionInfo: "e/7"},
		{State: "good", VersionInfo: "e/7"},
		{State: "refused", VersionInfo: "e/6", ErrorDetail: "it did harm"},
	} {
		got := requests[i+1]
		sameState := got.State == want.State && got.VersionInfo == want.VersionInfo
		if got.AnsweredVersion != "e/7" || !sameState || got.ErrorDetail != want.ErrorDetail {
			t.Errorf("answer %d: %+v, want %+v", i, got, want)
		}
	}
}

// Responses with an invalid type_url or version_info are rejected with a NACK, and those with invalid resources are
// delivered as updates with the reason. Later valid versions still arrive on the same stream.
func TestInvalidResponses(t *testing.T) {
	server := startServer(t, xdsserver.Options{})
	client := startClient(t, controlPlaneSettings(server.Address), nil)
	scriptedpeer.Eventually(t, "a stream", func() bool { return server.StreamsOpened() == 1 })
	valid, err := xdsserver.NewResponse("1", []config.Resource{classResource("look", 1)}, nil)
	require.NoError(t, err)
	variantOfValid := func(change func(r *discovery.DiscoveryResponse)) *discovery.DiscoveryResponse {
		r := &discovery.DiscoveryResponse{
			VersionInfo: valid.VersionInfo,
			TypeUrl:     valid.TypeUrl,
			Resources:   valid.Resources,
		}
		change(r)
		return r
	}
	broadcastInvalidResponses(t, server, variantOfValid)
	invalidRelease, err := xdsserver.NewResponse("9", []config.Resource{classResource("a", 1)},
		map[string]any{"rollback": "yes"})
	require.NoError(t, err)
	unknownKind, err := xdsserver.NewResponse("10", []config.Resource{
		{Kind: "clas", Name: "x", Fields: map[string]any{}},
	}, nil)
	require.NoError(t, err)
	undecodable := map[string]*discovery.DiscoveryResponse{
		"no resource is in it":   variantOfValid(func(r *discovery.DiscoveryResponse) { r.Resources = nil }),
		"neither true nor false": invalidRelease,
		"is no kind of resource": unknownKind,
		"cannot parse invalid wire-f": variantOfValid(func(r *discovery.DiscoveryResponse) {
			r.Resources = truncatedResources(r)
		}),
	}
	received := 0
	for want, r := range undecodable {
		server.Broadcast(r)
		received++
		scriptedpeer.Eventually(t, want, func() bool { return len(client.updates()) == received })
		update := client.updates()[received-1]
		if !strings.Contains(update.DecodeError, want) || update.Resources != nil || update.Version.Digest == "" {
			t.Errorf("%s: %+v", want, update)
		}
	}
	server.Broadcast(valid)
	scriptedpeer.Eventually(t, "a valid one", func() bool {
		update := client.updates()
		return len(update) == received+1 && update[received].DecodeError == ""
	})
	if server.StreamsOpened() != 1 {
		t.Errorf("%d streams", server.StreamsOpened())
	}
}

// broadcastInvalidResponses sends responses with an invalid type_url or version_info, and waits for the NACK of
// each. variantOfValid returns a changed copy of a valid response.
func broadcastInvalidResponses(
	t *testing.T,
	server *xdsserver.Server,
	variantOfValid func(func(*discovery.DiscoveryResponse)) *discovery.DiscoveryResponse,
) {
	t.Helper()
	invalid := map[string]*discovery.DiscoveryResponse{
		"was not asked for": variantOfValid(func(r *discovery.DiscoveryResponse) {
			r.TypeUrl = "type.googleapis.com/envoy.config.listener.v3.Listener"
		}),
		"is neither NUMBER":           variantOfValid(func(r *discovery.DiscoveryResponse) { r.VersionInfo = "seven" }),
		`"07" is neither NUMBER`:      variantOfValid(func(r *discovery.DiscoveryResponse) { r.VersionInfo = "07" }),
		"the epoch before / is empty": variantOfValid(func(r *discovery.DiscoveryResponse) { r.VersionInfo = "/7" }),
		"an epoch is at most 64": variantOfValid(func(r *discovery.DiscoveryResponse) {
			r.VersionInfo = strings.Repeat("e", 65) + "/7"
		}),
		`"18446744073709551616" is nei`: variantOfValid(func(r *discovery.DiscoveryResponse) {
			r.VersionInfo = "18446744073709551616"
		}),
	}
	for want, r := range invalid {
		server.Broadcast(r)
		scriptedpeer.Eventually(t, want, func() bool {
			for _, request := range server.Requests() {
				if strings.Contains(request.ErrorDetail, want) {
					return true
				}
			}
			return false
		})
	}
}

// A response over the size limit is not decoded. The client opens the stream again, and later versions arrive.
func TestResponseTooLarge(t *testing.T) {
	server := startServer(t, xdsserver.Options{})
	var resources []config.Resource
	for i := range 20_000 {
		resources = append(resources, classResource(fmt.Sprint("c", i), 1))
	}
	require.NoError(t, server.SetResources("1", resources, nil))
	client := startClient(t, controlPlaneSettings(server.Address), nil)
	scriptedpeer.Eventually(t, "the stream opened again", func() bool { return server.StreamsOpened() >= 3 })
	if len(client.updates()) > 0 {
		t.Error("it was decoded")
	}
	require.NoError(t, server.SetResources("2", resources[:5], nil))
	scriptedpeer.Eventually(t, "the next", func() bool { return len(client.updates()) > 0 })
}

// The client reconnects after the connection to the server breaks at any byte of a response. Every version arrives
// complete, and each new stream starts with the version that is running.
func TestServerVanishes(t *testing.T) {
	server := startServer(t, xdsserver.Options{})
	client := startClient(t, controlPlaneSettings(server.Address), nil)
	scriptedpeer.Eventually(t, "a stream", func() bool { return server.StreamsOpened() == 1 })
	resources := []config.Resource{classResource("look", 1), classResource("book", 2)}
	for n, byteLimit := range []int64{0, 1, 9, 10, 40, 100, 200, 300} {
		server.ResetConnectionsAfter(byteLimit)
		versionInfo := fmt.Sprint(n + 1)
		require.NoError(t, server.SetResources(versionInfo, resources, nil))
		scriptedpeer.Eventually(t, "the cut",
			func() bool { return server.OpenStreams() == 0 || client.hasVersion(n+1) })
		server.ResetConnectionsAfter(-1)
		scriptedpeer.Eventually(t, "version "+versionInfo, func() bool { return client.hasVersion(n + 1) })
		client.Ack(rollout.ID{Number: uint64(n + 1)}, true)
	}
	for _, update := range client.updates() {
		if update.DecodeError != "" || len(update.Resources) != 2 {
			t.Errorf("%+v", update)
		}
	}
	// An ACK between two streams is not sent, but the next stream starts with the version that is running.
	server.DropStreams()
	client.Ack(rollout.ID{Number: 8}, true)
	scriptedpeer.Eventually(t, "the running version", func() bool {
		requests := server.Requests()
		return requests[len(requests)-1].VersionInfo == "8" && requests[len(requests)-1].ResponseNonce == ""
	})
	// The server stays unreachable for some time, during which a NACK is reported.
	address := server.Address
	server.Close()
	client.Nack(rollout.ID{Number: 8}, "late", nil)
	restarted := startServer(t, xdsserver.Options{Address: address})
	require.NoError(t, restarted.SetResources("9", resources, nil))
	scriptedpeer.Eventually(t, "the service's return", func() bool { return client.hasVersion(9) })
	if requests := restarted.Requests()[0]; requests.VersionInfo != "" {
		t.Errorf("after the NACK version_info is %q", requests.VersionInfo)
	}
}

// hasVersion reports whether the version with a number has been received.
func (client *testClient) hasVersion(number int) bool {
	for _, update := range client.updates() {
		if update.Version.Number == uint64(number) {
			return true
		}
	}
	return false
}

// truncatedResources returns the first resource of a response without its last three bytes.
func truncatedResources(r *discovery.DiscoveryResponse) []*anypb.Any {
	truncated := &anypb.Any{TypeUrl: r.Resources[0].TypeUrl, Value: r.Resources[0].Value[:len(r.Resources[0].Value)-3]}
	return []*anypb.Any{truncated}
}

// Responses from a server that sends continuously are read at a limited rate, which bounds the memory that they
// need.
func TestServerNeverStopsSending(t *testing.T) {
	server := startServer(t, xdsserver.Options{})
	client := startClient(t, controlPlaneSettings(server.Address), nil)
	scriptedpeer.Eventually(t, "a stream", func() bool { return server.StreamsOpened() == 1 })
	for n := range 1000 {
		r, err := xdsserver.NewResponse(fmt.Sprint(n+1), []config.Resource{classResource("look", 1)}, nil)
		require.NoError(t, err)
		server.Broadcast(r)
	}
	scriptedpeer.Eventually(t, "some", func() bool { return len(client.updates()) >= 10 })
	if n := len(client.updates()); n > 30 {
		t.Errorf("%d of 1000 were read at once", n)
	}
}

// certificateAuthority signs certificates, which it stores as files in the folder dir.
type certificateAuthority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

// newAuthority returns a certificate authority whose own certificate is in the file ca.pem of its folder.
func newAuthority(t *testing.T) *certificateAuthority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	authority := &certificateAuthority{key: key, dir: t.TempDir()}
	authority.cert = &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, authority.cert, authority.cert, &key.PublicKey, key)
	require.NoError(t, err)
	authority.writePEM(t, "ca.pem", "CERTIFICATE", der)
	return authority
}

// writePEM writes a PEM file with one block to the folder, and returns its path.
func (a *certificateAuthority) writePEM(t *testing.T, name, blockType string, der []byte) string {
	t.Helper()
	path := filepath.Join(a.dir, name)
	require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600))
	return path
}

// issue signs a certificate for a name and 127.0.0.1, and returns the paths of the certificate and its private key.
func (a *certificateAuthority) issue(t *testing.T, name string) (cert, key string) {
	t.Helper()
	ownKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		DNSNames:     []string{name},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &ownKey.PublicKey, a.key)
	require.NoError(t, err)
	encodedKey, err := x509.MarshalECPrivateKey(ownKey)
	require.NoError(t, err)
	return a.writePEM(t, name+".pem", "CERTIFICATE", der), a.writePEM(t, name+".key", "EC PRIVATE KEY", encodedKey)
}

// serverCredentials returns credentials for a server that requires client certificates of this authority.
func (a *certificateAuthority) serverCredentials(t *testing.T) credentials.TransportCredentials {
	t.Helper()
	cert, key := a.issue(t, "service")
	certificate, err := tls.LoadX509KeyPair(cert, key)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	caPEM, err := os.ReadFile(filepath.Join(a.dir, "ca.pem"))
	require.NoError(t, err)
	pool.AppendCertsFromPEM(caPEM)
	return credentials.NewTLS(&tls.Config{
		Certificates: []tls.Certificate{certificate},
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	})
}

// A client only receives versions if each side has a certificate that is signed by the authority of the other, and
// the server's certificate has the expected name.
func TestMutualTLS(t *testing.T) {
	trusted := newAuthority(t)
	untrusted := newAuthority(t)
	server := startServer(t, xdsserver.Options{Credentials: trusted.serverCredentials(t)})
	require.NoError(t, server.SetResources("1", []config.Resource{classResource("look", 1)}, nil))
	settingsWith := func(ca, issuer *certificateAuthority, name string) config.ControlPlane {
		settings := controlPlaneSettings(server.Address)
		settings.Plaintext = false
		settings.ServerName = name
		settings.CA = filepath.Join(ca.dir, "ca.pem")
		settings.Cert, settings.Key = issuer.issue(t, "instance")
		return settings
	}
	valid := startClient(t, settingsWith(trusted, trusted, ""), nil)
	for description, settings := range map[string]config.ControlPlane{
		"an authority that is not the service's": settingsWith(untrusted, trusted, ""),
		"a certificate of another authority":     settingsWith(trusted, untrusted, ""),
		"another name":                           settingsWith(trusted, trusted, "somebody"),
		"no TLS":                                 controlPlaneSettings(server.Address),
	} {
		client := startClient(t, settings, nil)
		defer func() {
			if len(client.updates()) > 0 {
				t.Errorf("%s: versions arrived", description)
			}
		}()
	}
	scriptedpeer.Eventually(t, "the version", func() bool { return valid.hasVersion(1) })
	invalid := settingsWith(trusted, trusted, "")
	invalid.CA = invalid.Key
	_, err := xdsclient.New(xdsclient.Options{Settings: invalid})
	if err == nil || !strings.Contains(err.Error(), "control.ca") {
		t.Errorf("an invalid CA: %v", err)
	}
	invalid = settingsWith(trusted, trusted, "")
	invalid.Key = "/nowhere"
	_, err = xdsclient.New(xdsclient.Options{Settings: invalid})
	if err == nil || !strings.Contains(err.Error(), "control.cert") {
		t.Errorf("a missing key: %v", err)
	}
}
