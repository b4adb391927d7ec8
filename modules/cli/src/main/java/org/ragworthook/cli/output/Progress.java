package org.ragworthook.cli.output;

import java.io.PrintStream;
import java.util.Objects;

/**
 * Shows how far something has come: a bar that is redrawn on a terminal, a line for each
 * step elsewhere.
 */
public final class Progress implements AutoCloseable {

	private static final int WIDTH = 30;

	private final PrintStream out;

	private final boolean terminal;

	private String shown = "";

	private Progress(PrintStream out, boolean terminal) {
		this.out = Objects.requireNonNull(out, "out is null");
		this.terminal = terminal;
	}

	/**
	 * Returns a display that shows nothing yet.
	 * @param out where to show it
	 * @param terminal whether lines can be redrawn
	 * @return the display
	 */
	public static Progress of(PrintStream out, boolean terminal) {
		return new Progress(out, terminal);
	}

	/**
	 * Shows how far it has come, if that has changed.
	 * @param done how many are done
	 * @param total how many there are
	 * @param words what is counted
	 */
	public void show(long done, long total, String words) {
		String text = bar(done, total) + " " + done + "/" + total + " " + words;
		if (text.equals(this.shown)) {
			return;
		}
		if (this.terminal) {
			this.out.print("\r" + text + " ".repeat(Math.max(0, this.shown.length() - text.length())));
			this.out.flush();
		}
		else {
			this.out.println(text);
		}
		this.shown = text;
	}

	private static String bar(long done, long total) {
		int filled = (total > 0) ? (int) Math.min(WIDTH, WIDTH * done / total) : 0;
		return "[" + "#".repeat(filled) + ".".repeat(WIDTH - filled) + "]";
	}

	@Override
	public void close() {
		if (this.terminal && !this.shown.isEmpty()) {
			this.out.println();
			this.shown = "";
		}
	}

}
