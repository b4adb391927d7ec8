package org.ragworthook.standin.demo;

import java.io.PrintStream;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Speaks with the script that started the processes: lines that start with {@code @} are
 * orders to it, all others are for people. A program of the project starts no process and
 * stops none; the script does, as the platform would.
 */
final class Script {

	private final PrintStream out;

	private final long start = System.nanoTime();

	Script(PrintStream out) {
		this.out = Objects.requireNonNull(out, "out is null");
	}

	void say(String text) {
		long seconds = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - this.start);
		this.out.println(String.format("[%3d s] %s", seconds, text));
	}

	void print(String text) {
		this.out.println(text);
	}

	/**
	 * Kills a process without warning.
	 * @param name which one
	 */
	void kill(String name) {
		say("kill -9 " + name);
		this.out.println("@kill " + name);
	}

	/**
	 * Asks a process to stop.
	 * @param name which one
	 */
	void stop(String name) {
		say("SIGTERM " + name);
		this.out.println("@term " + name);
	}

	/**
	 * Starts a process again, once it has ended.
	 * @param name which one
	 */
	void start(String name) {
		say("start " + name);
		this.out.println("@start " + name);
	}

	/**
	 * Has the script keep the processes up until it is interrupted.
	 */
	void hold() {
		this.out.println("@hold");
	}

	static void pause(double seconds) {
		long end = System.nanoTime() + (long) (seconds * 1e9);
		for (long left = end - System.nanoTime(); left > 0; left = end - System.nanoTime()) {
			LockSupport.parkNanos(left);
		}
	}

}
