package org.ragworthook.standin.command;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/**
 * The program {@code ragworthook-standin}. Exit code 0: done; 1: a server could not start
 * or a run failed; 2: wrong arguments.
 */
public final class StandInProgram {

	private static final String NAMES = "object-api|instances|platform|engine|service|weights|load|keys|routing|batch";

	@Argument(handler = SubCommandHandler.class, required = true, metaVar = NAMES, usage = "what to run")
	@SubCommands({ @SubCommand(name = "object-api", impl = ObjectApiCommand.class),
			@SubCommand(name = "instances", impl = InstancesCommand.class),
			@SubCommand(name = "platform", impl = PlatformCommand.class),
			@SubCommand(name = "engine", impl = EngineCommand.class),
			@SubCommand(name = "service", impl = ServiceCommand.class),
			@SubCommand(name = "weights", impl = WeightsCommand.class),
			@SubCommand(name = "load", impl = LoadCommand.class),
			@SubCommand(name = "demo-plan", impl = DemoPlanCommand.class),
			@SubCommand(name = "demo-stand-ins", impl = DemoStandInsCommand.class),
			@SubCommand(name = "demo", impl = DemoCommand.class),
			@SubCommand(name = "bench-online", impl = BenchOnlineCommand.class),
			@SubCommand(name = "bench-batch", impl = BenchBatchCommand.class),
			@SubCommand(name = "keys", impl = KeysCommand.class),
			@SubCommand(name = "routing", impl = RoutingCommand.class),
			@SubCommand(name = "batch", impl = BatchCommand.class) })
	private Subcommand subcommand;

	private StandInProgram() {
	}

	/**
	 * Runs the program.
	 * @param arguments the subcommand and its options
	 */
	public static void main(String[] arguments) {
		int code = run(arguments);
		if (code != Subcommand.STAYS_UP) {
			System.exit(code);
		}
	}

	private static int run(String[] arguments) {
		StandInProgram program = new StandInProgram();
		CmdLineParser parser = new CmdLineParser(program);
		try {
			parser.parseArgument(arguments);
			return program.subcommand.run();
		}
		catch (CmdLineException ex) {
			System.err.println("ragworthook-standin: " + ex.getMessage() + "; usage: " + NAMES + " [options]");
			ex.getParser().printUsage(System.err);
			return 2;
		}
		catch (IllegalStateException ex) {
			System.err.println("ragworthook-standin: " + ex.getMessage());
			return 1;
		}
	}

}
