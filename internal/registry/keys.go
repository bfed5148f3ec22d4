package registry

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base32"
	"encoding/hex"
	"sort"
	"strings"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

const (
	hashBytes       = sha256.Size
	keyIDBytes      = 10 // random bytes of a key ID
	keySecretBytes  = 32 // random bytes of the secret part
	secretPrefix    = "evk"
	maxSecretLength = 256
	// BootstrapKeyID is the ID of the operator key in the settings.
	BootstrapKeyID = "bootstrap"
)

// errUnauthenticated returns the same error for unknown and withdrawn keys. The error
// never contains any part of the presented secret.
func errUnauthenticated() error {
	return errkind.New(errkind.Unauthenticated, "Authorization", "no valid key was presented")
}

// Authenticate returns the valid key with the given secret.
func (r *Registry) Authenticate(secret string) (api.Key, error) {
	if secret == "" || len(secret) > maxSecretLength {
		return api.Key{}, errUnauthenticated()
	}
	hash := sha256.Sum256([]byte(secret))
	if r.bootstrapHash != nil && subtle.ConstantTimeCompare(hash[:], r.bootstrapHash) == 1 {
		return api.Key{Id: BootstrapKeyID, Role: api.RoleOperator}, nil
	}
	id, ok := keyID(secret)
	if !ok {
		return api.Key{}, errUnauthenticated()
	}
	k, known := r.Snapshot().Keys[id]
	want, err := hex.DecodeString(k.SecretSha256)
	match := subtle.ConstantTimeCompare(hash[:], want) == 1
	if !known || err != nil || !match || k.WithdrawnUnixMs != 0 {
		return api.Key{}, errUnauthenticated()
	}
	return k, nil
}

// keyID returns the key ID in a secret.
func keyID(secret string) (string, bool) {
	parts := strings.Split(secret, "_")
	if len(parts) != 3 || parts[0] != secretPrefix || parts[1] == "" || parts[2] == "" {
		return "", false
	}
	return parts[1], true
}

// newSecret returns a random secret and the key ID in it.
func newSecret() (id, secret string) {
	id = randomText(keyIDBytes)
	return id, secretPrefix + "_" + id + "_" + randomText(keySecretBytes)
}

func randomText(n int) string {
	b := make([]byte, n)
	_, _ = rand.Read(b) // never fails
	return strings.ToLower(base32.StdEncoding.WithPadding(base32.NoPadding).EncodeToString(b))
}

func hashSecret(secret string) string {
	hash := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(hash[:])
}

// ListKeys returns all keys without their hashes, sorted by ID.
func (r *Registry) ListKeys() []api.Key {
	keys := r.Snapshot().Keys
	out := make([]api.Key, 0, len(keys))
	for _, k := range keys {
		out = append(out, redacted(k))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Id < out[j].Id })
	return out
}

// redacted returns a key without its hash and stamp.
func redacted(k api.Key) api.Key {
	k.SecretSha256 = ""
	k.Stamp = ""
	return k
}
