package org.ragworthook.gateway.log;

import java.text.MessageFormat;
import java.util.ResourceBundle;

/**
 * Leads {@link System.Logger} to the bounded log. The log managers of the platform are
 * passed by: they shut down when a stop begins, and the lines of the stop would be lost.
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
