package org.ragworthook.cli.entry;

import java.util.Objects;

import org.ragworthook.cli.output.ExitCode;

/**
 * Ends a command with a message and an exit code.
 */
public final class CliException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final ExitCode exitCode;

	/**
	 * Creates an error.
	 * @param exitCode how the command ends
	 * @param message what happened and what to do about it
	 */
	public CliException(ExitCode exitCode, String message) {
		super(Objects.requireNonNull(message, "message is null"));
		this.exitCode = Objects.requireNonNull(exitCode, "exitCode is null");
	}

	/**
	 * Returns how the command ends.
	 * @return the exit code
	 */
	public ExitCode exitCode() {
		return this.exitCode;
	}

}
