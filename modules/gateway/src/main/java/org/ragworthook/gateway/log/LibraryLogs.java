package org.ragworthook.gateway.log;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;

/**
 * A bridge from {@code java.util.logging}, which libraries use, to the bounded log.
 */
public final class LibraryLogs extends Handler {

	private final SimpleFormatter formatter = new SimpleFormatter();

	private LibraryLogs() {
	}

	/**
	 * Installs the bridge for warnings and errors. Libraries' other messages are dropped.
	 */
	public static void install() {
		LogManager.getLogManager().reset();
		Logger root = Logger.getLogger("");
		root.setLevel(Level.WARNING);
		root.addHandler(new LibraryLogs());
	}

	@Override
	public void publish(LogRecord entry) {
		BoundedLog.standard()
			.add(entry.getLevel().getName(),
					"event=library logger=" + entry.getLoggerName() + " message=\""
							+ this.formatter.formatMessage(entry).replace('"', '\'').replace('\n', ' ') + '"',
					entry.getThrown());
	}

	@Override
	public void flush() {
		BoundedLog.standard().flush();
	}

	@Override
	public void close() {
		flush();
	}

}
