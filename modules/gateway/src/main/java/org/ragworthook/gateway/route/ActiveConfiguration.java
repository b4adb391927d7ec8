package org.ragworthook.gateway.route;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

import org.ragworthook.core.log.EventLog;

/**
 * Holds the configuration that a process currently applies.
 * <p>
 * The platform may deliver an older version after a newer one, for example when a watch
 * restarts after its history was dropped. Applying it would refuse requests that were
 * allowed a moment before, so a configuration is replaced only by one with a higher
 * version.
 */
public final class ActiveConfiguration {

	private static final EventLog LOG = EventLog.of(ActiveConfiguration.class);

	private final AtomicReference<Configuration> current = new AtomicReference<>();

	private volatile Runnable listener = () -> {
	};

	private volatile Supplier<Optional<Duration>> confirmationAge = Optional::empty;

	private ActiveConfiguration() {
	}

	/**
	 * Returns a holder without a configuration.
	 * @return a new holder
	 */
	public static ActiveConfiguration empty() {
		return new ActiveConfiguration();
	}

	/**
	 * Sets the listener for a change of the active configuration.
	 * @param task runs on the thread that offers the new version
	 */
	public void onChange(Runnable task) {
		this.listener = Objects.requireNonNull(task, "task is null");
	}

	/**
	 * Sets the supplier of how long ago the active configuration was last known to be the
	 * newest one.
	 * @param age returns the age, empty if that was never known
	 */
	public void confirmationAge(Supplier<Optional<Duration>> age) {
		this.confirmationAge = Objects.requireNonNull(age, "age is null");
	}

	/**
	 * Returns how long ago the active configuration was last known to be the newest one,
	 * for the log.
	 * @return the milliseconds, -1 if that was never known
	 */
	public long confirmedMillisAgo() {
		return this.confirmationAge.get().map(Duration::toMillis).orElse(-1L);
	}

	/**
	 * Returns the active configuration.
	 * @return the newest configuration offered so far, or empty if there was none
	 */
	public Optional<Configuration> current() {
		return Optional.ofNullable(this.current.get());
	}

	/**
	 * Activates a configuration if its version is higher than that of the active one.
	 * @param offered the configuration
	 * @return whether it was activated
	 */
	public boolean offer(Configuration offered) {
		while (true) {
			Configuration previous = this.current.get();
			if (previous != null && previous.version() >= offered.version()) {
				return false;
			}
			if (this.current.compareAndSet(previous, offered)) {
				LOG.info("configuration_in_force", "version", offered.version(), "before",
						(previous != null) ? previous.version() : 0);
				this.listener.run();
				return true;
			}
		}
	}

}
