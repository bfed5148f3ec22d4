package settings

import (
	"crypto/tls"
	"crypto/x509"
	"path/filepath"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/document"
)

// TLS holds the TLS configurations of a process. A nil entry means plain TCP.
type TLS struct {
	// HTTP is for the listener for callers and operators. Clients must present a
	// certificate if ca_file is set.
	HTTP *tls.Config
	// Peer is for both sides of connections between nodes, which authenticate
	// each other. The dialing side sets ServerName to the IP address it dials.
	Peer *tls.Config
	// Platform is for connections to the platform and to upstreams.
	Platform *tls.Config
}

// LoadTLS loads the TLS files that s names. It returns all errors together as
// document.Errors.
func LoadTLS(s api.Settings) (TLS, error) {
	var errs document.Errors
	t := loadTLS(&errs, s.Tls)
	return t, errs.Err()
}

func loadTLS(errs *document.Errors, s *api.TLSSettings) TLS {
	if s == nil {
		return TLS{}
	}
	return TLS{
		HTTP:     httpTLS(errs, s.Http),
		Peer:     peerTLS(errs, s.Peer),
		Platform: platformTLS(errs, s.Platform),
	}
}

func httpTLS(errs *document.Errors, f *api.TLSFiles) *tls.Config {
	if f == nil {
		return nil
	}
	c := &tls.Config{MinVersion: tls.VersionTLS12}
	c.Certificates = loadCertificates(errs, "tls.http", *f, true)
	if f.CaFile != "" {
		c.ClientCAs = loadCertPool(errs, "tls.http.ca_file", f.CaFile)
		c.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return c
}

func peerTLS(errs *document.Errors, f *api.TLSFiles) *tls.Config {
	if f == nil {
		return nil
	}
	c := &tls.Config{MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAndVerifyClientCert}
	c.Certificates = loadCertificates(errs, "tls.peer", *f, true)
	if f.CaFile == "" {
		errs.Add("tls.peer.ca_file", "field is missing; nodes authenticate each other")
		return c
	}
	c.RootCAs = loadCertPool(errs, "tls.peer.ca_file", f.CaFile)
	c.ClientCAs = c.RootCAs
	return c
}

func platformTLS(errs *document.Errors, f *api.TLSFiles) *tls.Config {
	if f == nil {
		return nil
	}
	c := &tls.Config{MinVersion: tls.VersionTLS12}
	c.Certificates = loadCertificates(errs, "tls.platform", *f, false)
	if f.CaFile != "" {
		c.RootCAs = loadCertPool(errs, "tls.platform.ca_file", f.CaFile)
	}
	return c
}

// loadCertificates loads the certificate and key of f. Both may be missing unless
// required.
func loadCertificates(errs *document.Errors, path string, f api.TLSFiles, required bool) []tls.Certificate {
	if f.CertFile == "" && f.KeyFile == "" && !required {
		return nil
	}
	if f.CertFile == "" {
		errs.Add(path+".cert_file", "field is missing")
	}
	if f.KeyFile == "" {
		errs.Add(path+".key_file", "field is missing")
	}
	if f.CertFile == "" || f.KeyFile == "" {
		return nil
	}
	pair, err := readKeyPair(f)
	if err != nil {
		errs.Add(path+".cert_file", "certificate %q and key %q cannot be loaded: %v", f.CertFile, f.KeyFile, err)
		return nil
	}
	return []tls.Certificate{pair}
}

// readKeyPair reads a certificate and its key. Unlike tls.LoadX509KeyPair it limits
// the size of the files.
func readKeyPair(f api.TLSFiles) (tls.Certificate, error) {
	cert, err := document.ReadFile(f.CertFile, nil)
	if err != nil {
		return tls.Certificate{}, err
	}
	key, err := document.ReadFile(f.KeyFile, nil)
	if err != nil {
		return tls.Certificate{}, err
	}
	return tls.X509KeyPair(cert, key)
}

func loadCertPool(errs *document.Errors, path, file string) *x509.CertPool {
	data, err := document.ReadFile(file, nil)
	if err != nil {
		errs.Add(path, "file %q cannot be read: %v", file, err)
		return nil
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		errs.Add(path, "file %q contains no certificate in PEM format", file)
		return nil
	}
	return pool
}

// resolvePaths joins relative file names to dir.
func resolvePaths(s *api.TLSSettings, dir string) {
	if s == nil {
		return
	}
	for _, f := range []*api.TLSFiles{s.Http, s.Peer, s.Platform} {
		if f == nil {
			continue
		}
		for _, name := range []*string{&f.CertFile, &f.KeyFile, &f.CaFile} {
			if *name != "" && !filepath.IsAbs(*name) {
				*name = filepath.Join(dir, *name)
			}
		}
	}
}
