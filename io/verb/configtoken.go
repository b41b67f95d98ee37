package verb

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"

	"github.com/urfave/cli/v3"

	"persimmonstage/core/rules"
)

const tokenBytes = 32

// configToken generates a token and the hash that represents it in the configuration.
func configToken() *cli.Command {
	return &cli.Command{
		Name:  "token",
		Usage: "make a token, and its hash for the configuration",
		Description: "The token goes to its user, the hash under operators.NAME.token-hash or teams.NAME.token-hashes. To rotate a\n" +
			"team's token, list both hashes, publish, hand out the new token, and take the old hash out.\n\n" +
			"Example: persimmonstage config token",
		Flags:  []cli.Flag{jsonFlag()},
		Action: runConfigToken,
	}
}

type newToken struct {
	Token string `json:"token"`
	Hash  string `json:"hash"`
}

func runConfigToken(_ context.Context, c *cli.Command) error {
	if err := rejectExtraArgs(c, 0); err != nil {
		return err
	}
	raw := make([]byte, tokenBytes)
	if _, err := rand.Read(raw); err != nil {
		return prefixError(c, err)
	}
	token := base64.RawURLEncoding.EncodeToString(raw)
	out := newToken{Token: token, Hash: rules.HashToken(token)}
	if c.Bool("json") {
		return printJSON(c.Root().Writer, out)
	}
	fmt.Fprintf(c.Root().Writer, "token  %s\nhash   %s\n", out.Token, out.Hash)
	return nil
}
