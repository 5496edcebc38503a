package vane

//go:generate stringer -type=Reason,Execution,Kind,UpstreamState,UpstreamRole,OrderResult,RouteKind,RolloutState,ProcessState -linecomment -output=enums_string.go

// Reason states why a request was refused, delayed or sent elsewhere. Its
// String method gives the snake-case name that callers and operators see.
type Reason int

// The reasons of refusals, delays and reroutes.
const (
	ReasonNone                  Reason = iota // none
	ReasonBadRequest                          // bad_request
	ReasonBodyTooLarge                        // body_too_large
	ReasonKeyMissing                          // key_missing
	ReasonKeyUnknown                          // key_unknown
	ReasonKeyUnconfirmed                      // key_unconfirmed
	ReasonRouteUnknown                        // route_unknown
	ReasonMethodNotAllowed                    // method_not_allowed
	ReasonModelUnknown                        // model_unknown
	ReasonLimitRate                           // limit_rate
	ReasonLimitBurst                          // limit_burst
	ReasonLimitUnavailable                    // limit_unavailable
	ReasonQueueDeadline                       // queue_deadline
	ReasonQueueFull                           // queue_full
	ReasonNoUpstream                          // no_upstream
	ReasonUpstreamFailed                      // upstream_failed
	ReasonUpstreamEmpty                       // upstream_empty
	ReasonUpstreamWrongID                     // upstream_crossed
	ReasonUpstreamRejected                    // upstream_rejected
	ReasonUpstreamSlow                        // upstream_slow
	ReasonUpstreamFull                        // upstream_full
	ReasonSuspectRequest                      // suspect_request
	ReasonClaimConflict                       // claim_conflict
	ReasonClaimPending                        // claim_pending
	ReasonClaimUnknown                        // claim_unknown
	ReasonClaimUnavailable                    // claim_unavailable
	ReasonClaimKeyMissing                     // claim_key_missing
	ReasonResumeInvalid                       // resume_invalid
	ReasonNodeLeaving                         // node_leaving
	ReasonNotReady                            // node_not_ready
	ReasonCallerGone                          // caller_gone
	ReasonRetryBudget                         // retry_budget
	ReasonVersionFails                        // version_fails
	ReasonVersionSlowFirstToken               // version_slow_first_token
	ReasonVersionSlowTokens                   // version_slow_tokens
	ReasonInternal                            // internal
	ReasonMemoryFull                          // memory_full
	ReasonBodySlow                            // body_slow
)

// Execution says whether a request can have run.
type Execution int

// The execution states of a request that got no complete response.
const (
	// NotRun means that no byte of the request can have reached an upstream.
	NotRun Execution = iota // not_run
	// MayHaveRun means that at least one byte may have reached an upstream and
	// that the outcome of the request is not known.
	MayHaveRun // may_have_run
	// Ran means that an upstream sent a final response.
	Ran // ran
)

// Kind classifies an [Error] by what the caller of the failed function can do.
type Kind int

// The kinds of errors.
const (
	// KindInternal is a programming error.
	KindInternal Kind = iota // internal
	// KindInvalid is invalid input; repeating the call with it fails again.
	KindInvalid // invalid
	// KindNotFound is a name that does not exist.
	KindNotFound // not_found
	// KindConflict is a conditional write that failed since another writer had
	// changed the object.
	KindConflict // conflict
	// KindUnavailable is a temporary failure; a later retry may succeed.
	KindUnavailable // unavailable
	// KindUnknownOutcome is a write whose response was lost; it may have taken
	// effect.
	KindUnknownOutcome // unknown_outcome
	// KindFenced is an order that was refused for its outdated fencing number.
	KindFenced // fenced
	// KindCompacted is a watch from a revision whose changes the platform no longer
	// holds.
	KindCompacted // compacted
)
