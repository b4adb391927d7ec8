package org.ragworthook.cli.output;

/**
 * How a command ended, as shells and scripts see it.
 */
public enum ExitCode {

	/** All was done. */
	OK(0),

	/** The job ended, but some items failed or it was cancelled. */
	FAILED(1),

	/** The command line or the settings are wrong. */
	USAGE(2),

	/** The text is invalid, or the entry refused the call. */
	REFUSED(3),

	/** Another change came first. */
	CONFLICT(4),

	/** No entry could be reached, or the platform is out. */
	UNAVAILABLE(5),

	/** The time to wait has passed; what was asked for may still happen. */
	TIMEOUT(6);

	private final int number;

	ExitCode(int number) {
		this.number = number;
	}

	/**
	 * Returns the number that the process ends with.
	 * @return the number, from 0 to 6
	 */
	public int number() {
		return this.number;
	}

}
