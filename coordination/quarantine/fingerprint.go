package quarantine

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Fingerprint identifies one content for one service and model version. A content that
// crashes one version may run on the next.
type Fingerprint [16]byte

// FingerprintOf hashes what makes two requests the same work for a backend server. The
// idempotency key, the customer and the class are not included.
func FingerprintOf(svc state.ServiceID, model, version, content string) Fingerprint {
	h := sha256.New()
	for _, part := range []string{string(svc), model, version, content} {
		sum := sha256.Sum256([]byte(part))
		h.Write(sum[:])
	}
	return Fingerprint(h.Sum(nil)[:16])
}

// String returns the fingerprint in hex, which is also the key of its row.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}
