package keys

import (
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"strings"
	"time"

	"arbutusward.example/arbutusward/internal/codec"
)

// Role determines what the bearer of a token may do.
type Role string

// Roles. An operator may do all that a viewer may, and an admin all that an
// operator may.
const (
	Viewer   Role = "viewer"
	Operator Role = "operator"
	Admin    Role = "admin"
	// Target is the role of the targets of one pool.
	Target Role = "target"
)

// Errors of CheckToken.
var (
	ErrTokenMalformed = errors.New("token is malformed")
	ErrTokenSignature = errors.New("token bears no valid signature of this deployment")
	ErrTokenExpired   = errors.New("token has expired")
)

// Claims are the claims of a token.
type Claims struct {
	Role Role `cbor:"1,keyasint"`
	// Subject is the operator's name, or the pool of a target.
	Subject string `cbor:"2,keyasint"`
	// Expires is the expiry time of the token, in Unix seconds.
	Expires int64 `cbor:"3,keyasint"`
}

// Allows reports whether the role includes the required one.
func (r Role) Allows(required Role) bool {
	rank := map[Role]int{Viewer: 1, Operator: 2, Admin: 3}
	if r == Target || required == Target {
		return r == required
	}
	return rank[r] > 0 && rank[r] >= rank[required]
}

// IssueToken signs a token with the authority in caDir.
func IssueToken(caDir string, claims Claims) (string, error) {
	authority, err := loadAuthority(caDir)
	if err != nil {
		return "", err
	}
	body, err := codec.Marshal(claims)
	if err != nil {
		return "", fmt.Errorf("encode token: %w", err)
	}
	signature := ed25519.Sign(authority.signer, body)
	encoding := base64.RawURLEncoding
	return encoding.EncodeToString(body) + "." + encoding.EncodeToString(signature), nil
}

// maxVerified bounds the cache of tokens with a verified signature.
const maxVerified = 4096

// CheckToken returns the claims of a token. It returns an error if no authority
// of the deployment signed the token or if the token has expired.
func (r *Ring) CheckToken(token string, now time.Time) (Claims, error) {
	claims, err := r.current.Load().verify(token)
	if err != nil {
		return Claims{}, err
	}
	if now.Unix() > claims.Expires {
		return Claims{}, ErrTokenExpired
	}
	return claims, nil
}

// verify returns the claims of a token with a valid signature. A valid signature
// stays valid while the authorities are the same, so each token is verified
// only once.
func (m *material) verify(token string) (Claims, error) {
	if cached, ok := m.verified.Load(token); ok {
		return cached.(Claims), nil
	}
	bodyText, signatureText, found := strings.Cut(token, ".")
	if !found {
		return Claims{}, ErrTokenMalformed
	}
	body, bodyErr := base64.RawURLEncoding.DecodeString(bodyText)
	signature, signatureErr := base64.RawURLEncoding.DecodeString(signatureText)
	if bodyErr != nil || signatureErr != nil {
		return Claims{}, ErrTokenMalformed
	}
	if !m.signed(body, signature) {
		return Claims{}, ErrTokenSignature
	}
	var claims Claims
	if err := codec.Unmarshal(body, &claims); err != nil {
		return Claims{}, ErrTokenMalformed
	}
	if m.verifiedCount.Add(1) <= maxVerified {
		m.verified.Store(token, claims)
	}
	return claims, nil
}
