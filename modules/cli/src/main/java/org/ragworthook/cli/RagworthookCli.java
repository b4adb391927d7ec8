package org.ragworthook.cli;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.Map;
import java.util.Objects;

import org.kohsuke.args4j.ClassParser;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;
import org.ragworthook.cli.command.Command;
import org.ragworthook.cli.command.Session;
import org.ragworthook.cli.entry.CliException;
import org.ragworthook.cli.entry.EntryClient;
import org.ragworthook.cli.output.ExitCode;
import org.ragworthook.cli.output.Printer;

/**
 * The program {@code ragworthook}.
 */
public final class RagworthookCli {

	private static final int HELP_WIDTH = 110;

	private final Map<String, String> environment;

	private final PrintStream out;

	private final PrintStream errors;

	private RagworthookCli(Map<String, String> environment, PrintStream out, PrintStream errors) {
		this.environment = Objects.requireNonNull(environment, "environment is null");
		this.out = Objects.requireNonNull(out, "out is null");
		this.errors = Objects.requireNonNull(errors, "errors is null");
	}

	/**
	 * Returns a program that prints somewhere.
	 * @param environment the environment variables
	 * @param out where results go
	 * @param errors where errors and progress go
	 * @return the program
	 */
	public static RagworthookCli of(Map<String, String> environment, PrintStream out, PrintStream errors) {
		return new RagworthookCli(environment, out, errors);
	}

	/**
	 * Starts the program.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		System.exit(of(System.getenv(), System.out, System.err).run(args).number());
	}

	/**
	 * Runs one command.
	 * @param args the command line
	 * @return how it ended
	 */
	public ExitCode run(String... args) {
		if (args.length == 0 || Arrays.asList("help", "--help", "-h").contains(args[0])) {
			usage(this.out);
			return (args.length == 0) ? ExitCode.USAGE : ExitCode.OK;
		}
		return CommandName.parse(args[0])
			.map((name) -> run(name, Arrays.copyOfRange(args, 1, args.length)))
			.orElseGet(() -> {
				this.errors.println("ragworthook: there is no command '" + args[0] + "'");
				usage(this.errors);
				return ExitCode.USAGE;
			});
	}

	private ExitCode run(CommandName name, String[] args) {
		Command command = name.create();
		CommonOptions common = new CommonOptions();
		CmdLineParser parser = new CmdLineParser(command, ParserProperties.defaults().withUsageWidth(HELP_WIDTH));
		new ClassParser().parse(common, parser);
		try {
			parser.parseArgument(args);
			if (common.help()) {
				help(name, parser, this.out);
				return ExitCode.OK;
			}
			return run(command, common);
		}
		catch (CmdLineException ex) {
			this.errors.println("ragworthook " + name.label() + ": " + ex.getMessage());
			help(name, parser, this.errors);
			return ExitCode.USAGE;
		}
		catch (CliException ex) {
			this.errors.println("ragworthook " + name.label() + ": " + ex.getMessage());
			return ex.exitCode();
		}
	}

	private ExitCode run(Command command, CommonOptions common) {
		Printer printer = Printer.of(common.output(), this.out);
		try (Session session = new Session(() -> EntryClient.of(common.settings(this.environment)), printer, this.out,
				this.errors, System.console() != null)) {
			return command.run(session);
		}
		finally {
			this.out.flush();
		}
	}

	private void help(CommandName name, CmdLineParser parser, PrintStream to) {
		to.print("ragworthook " + name.label());
		parser.printSingleLineUsage(to);
		to.println();
		to.println(name.summary());
		parser.printUsage(to);
	}

	private void usage(PrintStream to) {
		to.println("ragworthook COMMAND [OPTIONS]; 'ragworthook COMMAND --help' tells more");
		for (CommandName name : CommandName.values()) {
			to.printf("  %-10s%s%n", name.label(), name.summary());
		}
		to.println("exit codes: 0 done, 1 items failed, 2 usage, 3 refused, 4 conflict, 5 unavailable, 6 timeout");
	}

}
