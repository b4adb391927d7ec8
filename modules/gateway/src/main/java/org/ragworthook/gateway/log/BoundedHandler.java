package org.ragworthook.gateway.log;

import java.io.PrintStream;
import java.util.Objects;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Queues log lines for a thread of its own that writes them. Whoever reads the output may
 * stall, and a thread that waited for it would stall every request; so lines that find
 * the queue full are dropped and counted, and the count is written when there is room.
 */
public final class BoundedHandler extends Handler {

	/** Lines that may wait: some seconds of a busy process. */
	private static final int CAPACITY = 4_096;

	/** Lines that are written at once. */
	private static final int BATCH = 256;

	private static final int LINE_CHARS = 200;

	private static final long LOOK_MILLIS = 200;

	private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(CAPACITY);

	private final AtomicLong dropped = new AtomicLong();

	private final PrintStream out;

	private volatile boolean closed;

	private BoundedHandler(PrintStream out) {
		this.out = Objects.requireNonNull(out, "out is null");
	}

	/**
	 * Makes all logging go through a new handler.
	 * @param out where lines are written
	 * @return the handler, to be closed at the end
	 */
	public static BoundedHandler install(PrintStream out) {
		BoundedHandler handler = new BoundedHandler(out);
		LogManager.getLogManager().reset();
		Logger root = Logger.getLogger("");
		root.setLevel(Level.INFO);
		root.addHandler(handler);
		Thread writer = new Thread(handler::write, "log");
		writer.setDaemon(true);
		writer.start();
		return handler;
	}

	@Override
	public void publish(LogRecord record) {
		if (!isLoggable(record)) {
			return;
		}
		StringBuilder line = new StringBuilder(LINE_CHARS);
		line.append("at=").append(record.getMillis()).append(" level=").append(record.getLevel().getName()).append(' ');
		line.append(record.getMessage());
		if (record.getThrown() != null) {
			line.append(" thrown=\"").append(trace(record.getThrown())).append('"');
		}
		if (!this.lines.offer(line.append('\n').toString())) {
			this.dropped.incrementAndGet();
		}
	}

	private static String trace(Throwable thrown) {
		StringBuilder text = new StringBuilder(thrown.toString());
		StackTraceElement[] stack = thrown.getStackTrace();
		for (int i = 0; i < Math.min(8, stack.length); i++) {
			text.append(" < ").append(stack[i]);
		}
		return text.toString().replace('"', '\'').replace('\n', ' ');
	}

	private void write() {
		StringBuilder text = new StringBuilder();
		while (!this.closed) {
			try {
				String first = this.lines.poll(LOOK_MILLIS, TimeUnit.MILLISECONDS);
				if (first != null) {
					text.setLength(0);
					text.append(first);
					for (int i = 1; i < BATCH && !this.lines.isEmpty(); i++) {
						text.append(this.lines.poll());
					}
					put(text);
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
		}
	}

	private void put(StringBuilder text) {
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

	@Override
	public void flush() {
		StringBuilder text = new StringBuilder();
		for (String line = this.lines.poll(); line != null; line = this.lines.poll()) {
			text.append(line);
		}
		if (text.length() > 0) {
			put(text);
		}
	}

	@Override
	public void close() {
		this.closed = true;
		flush();
	}

}
