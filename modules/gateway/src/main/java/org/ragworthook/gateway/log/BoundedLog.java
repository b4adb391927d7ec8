package org.ragworthook.gateway.log;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Queues log lines for a thread of its own that writes them to standard output. Whoever
 * reads the output may stall, and a thread that waited for it would stall every request;
 * so lines that find the queue full are dropped and counted, and the count is written
 * when there is room.
 */
public final class BoundedLog {

	/** Lines that may wait: some seconds of a busy process. */
	private static final int CAPACITY = 4_096;

	/** Characters that are written at once. */
	private static final int WRITE_CHARS = 32_768;

	private static final int LINE_CHARS = 200;

	private static final int TRACE_LINES = 8;

	/** How long lines gather before they are written, so that few writes carry them. */
	private static final long GATHER_MILLIS = 50;

	private static final BoundedLog STANDARD = new BoundedLog(System.out);

	private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(CAPACITY);

	private final Semaphore waiting = new Semaphore(0);

	private final AtomicLong dropped = new AtomicLong();

	private final PrintStream out;

	BoundedLog(PrintStream out) {
		this.out = out;
		Thread writer = new Thread(this::write, "log");
		writer.setDaemon(true);
		writer.start();
	}

	/**
	 * Returns the log of this process, on standard output.
	 * @return the log
	 */
	public static BoundedLog standard() {
		return STANDARD;
	}

	/**
	 * Adds a line.
	 * @param level how serious it is
	 * @param message what happened
	 * @param thrown the error, or {@code null}
	 */
	void add(String level, String message, Throwable thrown) {
		StringBuilder line = new StringBuilder(LINE_CHARS);
		line.append("at=").append(System.currentTimeMillis()).append(" level=").append(level).append(' ');
		line.append(message);
		if (thrown != null) {
			line.append(" thrown=\"").append(trace(thrown)).append('"');
		}
		if (!this.lines.offer(line.append('\n').toString())) {
			this.dropped.incrementAndGet();
		}
		if (this.waiting.availablePermits() == 0) {
			this.waiting.release();
		}
	}

	private static String trace(Throwable thrown) {
		StringBuilder text = new StringBuilder(thrown.toString());
		StackTraceElement[] stack = thrown.getStackTrace();
		for (int i = 0; i < Math.min(TRACE_LINES, stack.length); i++) {
			text.append(" < ").append(stack[i]);
		}
		return text.toString().replace('"', '\'').replace('\n', ' ');
	}

	/**
	 * Waits for lines and writes them. A line stays in the queue until it is written, so
	 * that the end of the process finds it there.
	 */
	private void write() {
		try {
			while (true) {
				this.waiting.acquire();
				TimeUnit.MILLISECONDS.sleep(GATHER_MILLIS);
				this.waiting.drainPermits();
				flush();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Writes what waits.
	 */
	public synchronized void flush() {
		StringBuilder text = new StringBuilder();
		for (String line = this.lines.poll(); line != null; line = this.lines.poll()) {
			text.append(line);
			if (text.length() >= WRITE_CHARS) {
				this.out.print(text);
				text.setLength(0);
			}
		}
		long lost = this.dropped.getAndSet(0);
		if (lost > 0) {
			text.append("at=")
				.append(System.currentTimeMillis())
				.append(" level=WARNING event=log_lines_dropped lines=")
				.append(lost)
				.append('\n');
		}
		this.out.print(text);
		this.out.flush();
	}

}
