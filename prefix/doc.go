// Package prefix cuts prompts into nested prefixes and derives the cache salts
// that keep workspaces apart.
//
// Engines cache whole pieces of about four thousand tokens from the start of a
// prompt. A prompt is therefore cut at the same offsets, and each level is named
// by a hash of everything before its end. The chain is seeded with the workspace
// and the model, so that equal text of two workspaces gives unrelated levels.
//
// # Usage
//
//	p := prefix.Cut("taller-sur", "quill", msgs, prefix.DefaultPiece)
//	salt := prefix.Salt(secret, "taller-sur", upstream)
//
// # Units
//
// Tokens are estimated as four bytes each; pieces are counted in tokens.
package prefix
