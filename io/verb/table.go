package verb

import "github.com/urfave/cli/v3"

// table lists the commands; a new one needs a file of its name and a row here.
func table() []*cli.Command {
	return []*cli.Command{
		try(),
		dev(),
		entry(),
		agent(),
		submit(),
		cancel(),
		state(),
		config(),
		targets(),
		teams(),
		drain(),
		undrain(),
		evacuate(),
		retire(),
		report(),
		explain(),
		where(),
		regretCommand(),
		loadCommand(),
		onPlatform(),
		standIn(),
	}
}

// standIn groups the commands that run stand-ins of the platform.
func standIn() *cli.Command {
	return &cli.Command{
		Name:     "stand-in",
		Usage:    "run one of the project's own small fakes of the platform",
		Commands: []*cli.Command{standLog(), standTarget(), standLeases()},
	}
}
