package auth

import (
	"net/http"
	"strings"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/config"
)

// bearerPrefix precedes the key in the Authorization header. Its case is ignored.
const bearerPrefix = "Bearer "

// retryAfter is the delay after which a caller should try another entry address.
const retryAfter = time.Second

// credentialHeaders are the headers that can carry a key. They must not be forwarded.
var credentialHeaders = []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "Cookie"}

// Freshness reports whether this node's information on withdrawn keys is recent
// enough to accept keys, and if not, why.
type Freshness func() (ok bool, why string)

// Key returns the key in the Authorization header, which must be present exactly
// once. Errors are refusals with ReasonKeyMissing.
func Key(h http.Header) (string, error) {
	values := h.Values("Authorization")
	if len(values) == 0 {
		return "", vane.Refuse(vane.ReasonKeyMissing, "no key; send the header Authorization: Bearer KEY")
	}
	if len(values) > 1 {
		return "", vane.Refuse(vane.ReasonKeyMissing, "the Authorization header occurs %d times; send it once", len(values))
	}
	v := values[0]
	if len(v) <= len(bearerPrefix) || !strings.EqualFold(v[:len(bearerPrefix)], bearerPrefix) {
		return "", vane.Refuse(vane.ReasonKeyMissing, "the Authorization header is not of the form Bearer KEY; correct it")
	}
	return strings.TrimSpace(v[len(bearerPrefix):]), nil
}

// Workspace returns the workspace to which the key in the header belongs. Errors are
// of type [*vane.Refusal] and never contain the key.
func Workspace(h http.Header, v *config.View, fresh Freshness) (config.Workspace, error) {
	key, err := Key(h)
	if err != nil {
		return config.Workspace{}, err
	}
	if v.Revision == 0 {
		return config.Workspace{}, vane.Refuse(vane.ReasonNotReady, "this node has no configuration yet; use another entry address").WithRetryAfter(retryAfter)
	}
	if ok, why := fresh(); !ok {
		return config.Workspace{}, vane.Refuse(vane.ReasonKeyUnconfirmed, "this node can't confirm keys: %s; use another entry address", why).WithRetryAfter(retryAfter)
	}
	ws, ok := v.WorkspaceByKey(key)
	if !ok {
		return config.Workspace{}, vane.Refuse(vane.ReasonKeyUnknown, "the key is not known or was withdrawn; ask the operator for a key")
	}
	return ws, nil
}

// Strip removes all headers that can carry a key.
func Strip(h http.Header) {
	for _, name := range credentialHeaders {
		h.Del(name)
	}
}
