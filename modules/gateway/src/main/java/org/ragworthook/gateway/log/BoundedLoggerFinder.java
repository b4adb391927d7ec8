package org.ragworthook.gateway.log;

import java.text.MessageFormat;
import java.util.ResourceBundle;

/**
 * Makes all {@link System.Logger} instances write to the bounded log. The JDK's log
 * manager is not used: it is reset as soon as the JVM begins to shut down, and the lines
 * that a process logs while it stops would be lost.
 */
public final class BoundedLoggerFinder extends System.LoggerFinder {

	@Override
	public System.Logger getLogger(String name, Module module) {
		return new BoundedLogger(name);
	}

	private record BoundedLogger(String name) implements System.Logger {

		@Override
		public String getName() {
			return this.name;
		}

		@Override
		public boolean isLoggable(Level level) {
			return level.getSeverity() >= Level.INFO.getSeverity();
		}

		@Override
		public void log(Level level, ResourceBundle bundle, String message, Throwable thrown) {
			if (isLoggable(level)) {
				BoundedLog.standard().add(level.name(), message, thrown);
			}
		}

		@Override
		public void log(Level level, ResourceBundle bundle, String format, Object... parameters) {
			if (isLoggable(level)) {
				String message = (parameters == null || parameters.length == 0) ? format
						: MessageFormat.format(format, parameters);
				BoundedLog.standard().add(level.name(), message, null);
			}
		}

	}

}
