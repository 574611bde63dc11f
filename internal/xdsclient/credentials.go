package xdsclient

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"dunlinsail/internal/config"
)

// transportCredentials returns credentials for mutual TLS, or for plaintext if the settings request it. Package
// config accepts plaintext on loopback only.
func transportCredentials(settings *config.ControlPlane) (credentials.TransportCredentials, error) {
	if settings.Plaintext {
		return insecure.NewCredentials(), nil
	}
	pem, err := os.ReadFile(settings.CA)
	if err != nil {
		return nil, fmt.Errorf("control.ca: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("control.ca: no certificate is in %s", settings.CA)
	}
	certificate, err := tls.LoadX509KeyPair(settings.Cert, settings.Key)
	if err != nil {
		return nil, fmt.Errorf("control.cert: %w", err)
	}
	serverName := settings.ServerName
	if serverName == "" {
		serverName, _, _ = net.SplitHostPort(settings.Address)
	}
	return credentials.NewTLS(&tls.Config{
		RootCAs:      roots,
		Certificates: []tls.Certificate{certificate},
		ServerName:   serverName,
		MinVersion:   tls.VersionTLS13,
	}), nil
}
