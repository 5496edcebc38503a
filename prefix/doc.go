// Package prefix divides prompts into nested prefixes and derives the cache salts that
// keep the engines' caches of different workspaces apart.
//
// Engines cache whole pieces of about four thousand tokens from the start of a prompt.
// A prompt is therefore cut at the same offsets, and each prefix, called a level, is
// identified by a hash of everything before its end. The hash also covers the workspace
// and the model, so that equal text of two workspaces gives different levels.
//
// # Usage
//
//	p := prefix.Cut("taller-sur", "quill", msgs, prefix.DefaultPieceTokens)
//	salt := prefix.Salt(secret, "taller-sur", upstream)
//
// # Units
//
// The number of tokens is estimated as a quarter of the number of bytes. Piece sizes are
// in tokens.
package prefix
