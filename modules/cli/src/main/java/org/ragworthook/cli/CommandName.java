package org.ragworthook.cli;

import java.util.Locale;
import java.util.Optional;
import java.util.function.Supplier;

import org.ragworthook.cli.command.ApplyCommand;
import org.ragworthook.cli.command.CancelCommand;
import org.ragworthook.cli.command.Command;
import org.ragworthook.cli.command.DiffCommand;
import org.ragworthook.cli.command.DrainCommand;
import org.ragworthook.cli.command.GetCommand;
import org.ragworthook.cli.command.HistoryCommand;
import org.ragworthook.cli.command.ResultsCommand;
import org.ragworthook.cli.command.StatusCommand;
import org.ragworthook.cli.command.SubmitCommand;
import org.ragworthook.cli.command.ValidateCommand;
import org.ragworthook.cli.command.VersionCommand;
import org.ragworthook.cli.command.WatchCommand;
import org.ragworthook.cli.explain.ExplainCommand;

/**
 * The commands by name.
 */
enum CommandName {

	/** Checks a text. */
	VALIDATE(ValidateCommand::new, "check a text, without an entry"),

	/** Compares a text. */
	DIFF(DiffCommand::new, "say in words what a text would change"),

	/** Submits a text. */
	APPLY(ApplyCommand::new, "submit a text and wait until it is in force everywhere"),

	/** Prints a text. */
	GET(GetCommand::new, "print the newest text or an earlier one"),

	/** Lists changes. */
	HISTORY(HistoryCommand::new, "list the accepted changes"),

	/** Shows processes. */
	STATUS(StatusCommand::new, "show by which version each process acts"),

	/** Submits a job. */
	SUBMIT(SubmitCommand::new, "submit a batch job"),

	/** Follows a job. */
	WATCH(WatchCommand::new, "follow a batch job to its end"),

	/** Reads results. */
	RESULTS(ResultsCommand::new, "read the results of a batch job"),

	/** Stops a job. */
	CANCEL(CancelCommand::new, "stop a batch job"),

	/** Drains an instance. */
	DRAIN(DrainCommand::new, "have an instance finish its work and take no more"),

	/** Explains losses. */
	EXPLAIN(ExplainCommand::new, "tell from logs why requests were late, refused or failed"),

	/** Prints the version. */
	VERSION(VersionCommand::new, "print the version of this program");

	private final Supplier<Command> create;

	private final String summary;

	CommandName(Supplier<Command> create, String summary) {
		this.create = create;
		this.summary = summary;
	}

	static Optional<CommandName> parse(String text) {
		for (CommandName name : values()) {
			if (name.label().equals(text)) {
				return Optional.of(name);
			}
		}
		return Optional.empty();
	}

	String label() {
		return name().toLowerCase(Locale.ROOT);
	}

	Command create() {
		return this.create.get();
	}

	String summary() {
		return this.summary;
	}

}
