package cmd

import (
	"context"
	"crypto/sha256"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
)

var cmdToken = command{
	name: "hash-token",
	help: "Print the SHA-256 of a token, as the settings want it.",
	setup: func(c *kingpin.CmdClause) action {
		token := c.Arg("token", "The token.").Required().String()
		return func(_ context.Context, e *env) error {
			fmt.Fprintf(e.out, "%x\n", sha256.Sum256([]byte(*token)))
			return nil
		}
	},
}
