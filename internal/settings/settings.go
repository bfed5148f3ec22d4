// Package settings loads the settings file of a process, fills in defaults and
// checks addresses and TLS files.
package settings

import (
	"encoding/json"
	"net/netip"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/document"
)

// Load reads the settings file at path. Every optional field except tls gets its
// default. Relative names of TLS files refer to the directory of the settings file.
// Errors in the content are returned together as document.Errors.
func Load(path string) (api.Settings, error) {
	data, err := document.ReadFile(path, nil)
	if err != nil {
		return api.Settings{}, err
	}
	return Parse(data, filepath.Dir(path))
}

// Parse decodes and checks settings. Relative names of TLS files refer to dir.
func Parse(data []byte, dir string) (api.Settings, error) {
	s, err := defaultSettings()
	if err != nil {
		return api.Settings{}, err
	}
	if err := document.Decode(data, "Settings", &s); err != nil {
		return api.Settings{}, err
	}
	fillDerivedAddresses(&s)
	resolvePaths(s.Tls, dir)
	var errs document.Errors
	checkAddresses(&errs, s)
	loadTLS(&errs, s.Tls)
	if err := errs.Err(); err != nil {
		return api.Settings{}, err
	}
	return s, nil
}

// defaultSettings returns settings with the defaults of the schema.
func defaultSettings() (api.Settings, error) {
	level := api.LogLevelInfo
	s := api.Settings{Limits: &api.Limits{}, LogLevel: &level}
	for _, d := range []struct {
		def string
		out any
	}{{"Settings", &s}, {"Limits", s.Limits}} {
		data, err := document.Defaults(d.def)
		if err != nil {
			return api.Settings{}, err
		}
		if err := json.Unmarshal(data, d.out); err != nil {
			return api.Settings{}, errors.Wrapf(err, "decode the defaults of %s", d.def)
		}
	}
	return s, nil
}

// fillDerivedAddresses fills in the addresses whose default is another field.
func fillDerivedAddresses(s *api.Settings) {
	for _, d := range []struct {
		field *string
		value string
	}{
		{&s.HttpAdvertiseAddress, s.HttpAddress},
		{&s.PeerAdvertiseAddress, s.PeerAddress},
		{&s.ObjectStoreAddress, s.StoreAddress},
		{&s.VmListAddress, s.StoreAddress},
	} {
		if *d.field == "" {
			*d.field = d.value
		}
	}
}

func checkAddresses(errs *document.Errors, s api.Settings) {
	checkAddress(errs, "http_address", s.HttpAddress, true)
	checkAddress(errs, "peer_address", s.PeerAddress, true)
	checkAddress(errs, "http_advertise_address", s.HttpAdvertiseAddress, false)
	checkAddress(errs, "peer_advertise_address", s.PeerAdvertiseAddress, false)
	checkAddress(errs, "store_address", s.StoreAddress, false)
	checkAddress(errs, "object_store_address", s.ObjectStoreAddress, false)
	checkAddress(errs, "vm_list_address", s.VmListAddress, false)
	if s.HttpAddress == s.PeerAddress {
		errs.Add("peer_address", "value %q must differ from http_address", s.PeerAddress)
	}
}

// checkAddress checks an address that a process listens on or connects to. The
// unspecified address is accepted only if listen is set. Host names are rejected:
// processes reach each other by IP address, so that recovery does not depend on a name
// service.
func checkAddress(errs *document.Errors, field, value string, listen bool) {
	a, err := netip.ParseAddrPort(value)
	switch {
	case err != nil:
		errs.Add(field, "value %q must be an IP address and a port, such as 10.0.0.1:7000", value)
	case a.Port() == 0:
		errs.Add(field, "value %q must have a port from 1 to 65535", value)
	case !listen && a.Addr().IsUnspecified():
		errs.Add(field, "value %q must be an address that other processes can reach, not the unspecified one", value)
	}
}
