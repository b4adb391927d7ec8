package org.ragworthook.standin.command;

/**
 * One thing that the program can do.
 */
public interface Subcommand {

	/**
	 * Does it.
	 * @return the exit code, or {@link #STAYS_UP} if the process is to stay up
	 */
	int run();

	/** Returned by a subcommand whose servers keep the process up. */
	int STAYS_UP = -1;

}
