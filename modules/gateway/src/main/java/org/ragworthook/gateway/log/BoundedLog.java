package org.ragworthook.gateway.log;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * An asynchronous log with a bounded queue. A writer thread of its own writes the queued
 * lines to standard output.
 * <p>
 * If the reader of the output stalls, a thread that waited for it would block all
 * requests. Therefore lines are dropped while the queue is full, and their number is
 * logged later.
 */
public final class BoundedLog {

	/** Lines that may be queued: several seconds of a busy process. */
	private static final int CAPACITY_LINES = 4_096;

	/** Length from which gathered lines are written, in characters. */
	private static final int WRITE_BUFFER_CHARS = 32_768;

	/** Initial capacity for one line, in characters. */
	private static final int INITIAL_LINE_CHARS = 200;

	/** Stack frames that are logged of an exception. */
	private static final int MAX_STACK_FRAMES = 8;

	/** How long lines gather before they are written, so that few writes are needed. */
	private static final long GATHERING_MILLIS = 50;

	private static final BoundedLog STANDARD = new BoundedLog(System.out);

	private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(CAPACITY_LINES);

	/** Has a permit while lines may be queued. */
	private final Semaphore hasLines = new Semaphore(0);

	private final AtomicLong dropped = new AtomicLong();

	private final PrintStream out;

	BoundedLog(PrintStream out) {
		this.out = out;
		Thread writer = new Thread(this::writeLoop, "log");
		writer.setDaemon(true);
		writer.start();
	}

	/**
	 * Returns the log of this process, which is written to standard output.
	 * @return the log
	 */
	public static BoundedLog standard() {
		return STANDARD;
	}

	/**
	 * Queues a line, or drops it if the queue is full.
	 * @param level the name of the level
	 * @param message the message
	 * @param thrown the exception to log with the message, or {@code null}
	 */
	void add(String level, String message, Throwable thrown) {
		StringBuilder line = new StringBuilder(INITIAL_LINE_CHARS);
		line.append("at=").append(System.currentTimeMillis()).append(" level=").append(level).append(' ');
		line.append(message);
		if (thrown != null) {
			line.append(" thrown=\"").append(stackTrace(thrown)).append('"');
		}
		if (!this.lines.offer(line.append('\n').toString())) {
			this.dropped.incrementAndGet();
		}
		if (this.hasLines.availablePermits() == 0) {
			this.hasLines.release();
		}
	}

	private static String stackTrace(Throwable thrown) {
		StringBuilder text = new StringBuilder(thrown.toString());
		StackTraceElement[] frames = thrown.getStackTrace();
		for (int i = 0; i < Math.min(MAX_STACK_FRAMES, frames.length); i++) {
			text.append(" < ").append(frames[i]);
		}
		return text.toString().replace('"', '\'').replace('\n', ' ');
	}

	/**
	 * Waits for lines and writes them. Lines stay in the queue while they gather, so that
	 * a {@link #flush()} at the end of the process finds them there.
	 */
	private void writeLoop() {
		try {
			while (true) {
				this.hasLines.acquire();
				TimeUnit.MILLISECONDS.sleep(GATHERING_MILLIS);
				this.hasLines.drainPermits();
				flush();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Writes all queued lines, and the number of lines dropped since the last call.
	 */
	public synchronized void flush() {
		StringBuilder text = new StringBuilder();
		for (String line = this.lines.poll(); line != null; line = this.lines.poll()) {
			text.append(line);
			if (text.length() >= WRITE_BUFFER_CHARS) {
				this.out.print(text);
				text.setLength(0);
			}
		}
		long count = this.dropped.getAndSet(0);
		if (count > 0) {
			text.append("at=")
				.append(System.currentTimeMillis())
				.append(" level=WARNING event=log_lines_dropped lines=")
				.append(count)
				.append('\n');
		}
		this.out.print(text);
		this.out.flush();
	}

}
