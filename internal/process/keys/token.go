package keys

import (
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Role is what the bearer of a token may do.
type Role string

// Roles. An operator may do what a viewer may, an admin what an operator may.
const (
	Viewer   Role = "viewer"
	Operator Role = "operator"
	Admin    Role = "admin"
	// Target is the role of the targets of one pool.
	Target Role = "target"
)

// Errors of tokens.
var (
	ErrTokenMalformed = errors.New("token is malformed")
	ErrTokenForged    = errors.New("token bears no valid signature of this deployment")
	ErrTokenExpired   = errors.New("token has expired")
)

// Claims is what a token says.
type Claims struct {
	Role Role `cbor:"1,keyasint"`
	// Subject is the operator's name, or the pool of a target.
	Subject string `cbor:"2,keyasint"`
	// Expires is the end of the token's life, in Unix seconds.
	Expires int64 `cbor:"3,keyasint"`
}

// Allows says whether the role covers the one that is needed.
func (r Role) Allows(needed Role) bool {
	rank := map[Role]int{Viewer: 1, Operator: 2, Admin: 3}
	if r == Target || needed == Target {
		return r == needed
	}
	return rank[r] > 0 && rank[r] >= rank[needed]
}

// IssueToken signs a token with the authority in caDir.
func IssueToken(caDir string, claims Claims) (string, error) {
	authority, err := loadAuthority(caDir)
	if err != nil {
		return "", err
	}
	body, err := cbor.Marshal(claims)
	if err != nil {
		return "", fmt.Errorf("encode token: %w", err)
	}
	signature := ed25519.Sign(authority.signer, body)
	encoding := base64.RawURLEncoding
	return encoding.EncodeToString(body) + "." + encoding.EncodeToString(signature), nil
}

// maxVerified bounds the tokens whose signature need not be checked again.
const maxVerified = 4096

// CheckToken returns what a token says if the deployment's authority
// signed it and it has not expired.
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

// verify returns what a signed token says. A signature that was good stays
// good for as long as the authorities are the same, so it is checked once.
func (m *material) verify(token string) (Claims, error) {
	if known, ok := m.verified.Load(token); ok {
		return known.(Claims), nil
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
		return Claims{}, ErrTokenForged
	}
	var claims Claims
	if err := cbor.Unmarshal(body, &claims); err != nil {
		return Claims{}, ErrTokenMalformed
	}
	if m.verifiedCount.Add(1) <= maxVerified {
		m.verified.Store(token, claims)
	}
	return claims, nil
}
