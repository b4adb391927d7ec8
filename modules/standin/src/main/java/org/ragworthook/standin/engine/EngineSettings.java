package org.ragworthook.standin.engine;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * How an engine behaves. Made by {@link #builder()}.
 */
public final class EngineSettings {

	private final Builder from;

	private EngineSettings(Builder from) {
		this.from = from.copy();
	}

	/**
	 * Returns a builder with the defaults.
	 * @return a new builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Returns the models that are loaded at the start.
	 * @return names
	 */
	public List<String> models() {
		return this.from.models;
	}

	/**
	 * Returns how many requests run at once.
	 * @return the slot limit
	 */
	public int slots() {
		return this.from.slots;
	}

	/**
	 * Returns the time of a step with one request running.
	 * @return the time for a token
	 */
	public Duration tokenTime() {
		return this.from.tokenTime;
	}

	/**
	 * Returns how much longer a step takes for each further request running.
	 * @return the growth of the time for a token
	 */
	public Duration tokenGrowth() {
		return this.from.tokenGrowth;
	}

	/**
	 * Returns how long a token of the prompt takes that is not in the prefix cache.
	 * @return the time for a prompt token
	 */
	public Duration prefillTime() {
		return this.from.prefillTime;
	}

	/**
	 * Returns how many blocks the prefix cache holds.
	 * @return the size of the cache
	 */
	public int cacheBlocks() {
		return this.from.cacheBlocks;
	}

	/**
	 * Returns how late cache events are.
	 * @return the delay of an event
	 */
	public Duration eventLag() {
		return this.from.eventLag;
	}

	/**
	 * Returns which share of the cache events is never published.
	 * @return a fraction from 0 to 1
	 */
	public double eventLoss() {
		return this.from.eventLoss;
	}

	/**
	 * Returns how old the reported load is at most.
	 * @return the time between two reports
	 */
	public Duration loadLag() {
		return this.from.loadLag;
	}

	/**
	 * Returns how long the engine is away after a crash.
	 * @return the time from a crash until it listens again
	 */
	public Duration restartTime() {
		return this.from.restartTime;
	}

	/**
	 * Returns whether orders with an older fencing token are refused.
	 * @return whether the token is checked
	 */
	public boolean fencingChecked() {
		return this.from.fencingChecked;
	}

	/**
	 * Returns whether a crash ends the process.
	 * @return whether to exit, else the port is closed for the restart time
	 */
	public boolean exitOnCrash() {
		return this.from.exitOnCrash;
	}

	/**
	 * Returns the port of the weight store on this machine.
	 * @return the port, or 0 if weights are at hand
	 */
	public int weightsPort() {
		return this.from.weightsPort;
	}

	/**
	 * Builds settings.
	 */
	public static final class Builder implements Cloneable {

		private List<String> models = List.of("assistant");

		private int slots = 16;

		private Duration tokenTime = Duration.ofMillis(8);

		private Duration tokenGrowth = Duration.ofNanos(500_000);

		private Duration prefillTime = Duration.ofNanos(50_000);

		private int cacheBlocks = 4_096;

		private Duration eventLag = Duration.ofMillis(500);

		private double eventLoss = 0.05;

		private Duration loadLag = Duration.ofSeconds(1);

		private Duration restartTime = Duration.ofSeconds(2);

		private boolean fencingChecked = true;

		private boolean exitOnCrash;

		private int weightsPort;

		private Builder() {
		}

		/**
		 * Sets the models that are loaded at the start.
		 * @param names names, each with or without {@code @version}
		 * @return this builder
		 */
		public Builder models(List<String> names) {
			this.models = List.copyOf(names);
			return this;
		}

		/**
		 * Sets how many requests run at once.
		 * @param limit the slot limit
		 * @return this builder
		 */
		public Builder slots(int limit) {
			this.slots = limit;
			return this;
		}

		/**
		 * Sets the time of a step.
		 * @param alone the time with one request running
		 * @param growth how much longer it takes for each further request
		 * @return this builder
		 */
		public Builder tokenTime(Duration alone, Duration growth) {
			this.tokenTime = Objects.requireNonNull(alone, "alone is null");
			this.tokenGrowth = Objects.requireNonNull(growth, "growth is null");
			return this;
		}

		/**
		 * Sets how long a token of the prompt takes.
		 * @param time the time for a prompt token that is not in the cache
		 * @return this builder
		 */
		public Builder prefillTime(Duration time) {
			this.prefillTime = Objects.requireNonNull(time, "time is null");
			return this;
		}

		/**
		 * Sets the size of the prefix cache.
		 * @param blocks how many blocks it holds
		 * @return this builder
		 */
		public Builder cacheBlocks(int blocks) {
			this.cacheBlocks = blocks;
			return this;
		}

		/**
		 * Sets how cache events are published.
		 * @param lag how late they are
		 * @param loss which share is never published
		 * @return this builder
		 */
		public Builder events(Duration lag, double loss) {
			this.eventLag = Objects.requireNonNull(lag, "lag is null");
			this.eventLoss = loss;
			return this;
		}

		/**
		 * Sets how long the engine is away after a crash.
		 * @param time the time until it listens again
		 * @return this builder
		 */
		public Builder restartTime(Duration time) {
			this.restartTime = Objects.requireNonNull(time, "time is null");
			return this;
		}

		/**
		 * Sets whether orders with an older fencing token are refused.
		 * @param checked whether to check
		 * @return this builder
		 */
		public Builder fencingChecked(boolean checked) {
			this.fencingChecked = checked;
			return this;
		}

		/**
		 * Sets whether a crash ends the process.
		 * @param exit whether to exit
		 * @return this builder
		 */
		public Builder exitOnCrash(boolean exit) {
			this.exitOnCrash = exit;
			return this;
		}

		/**
		 * Sets the port of the weight store.
		 * @param port the port, or 0 if weights are at hand
		 * @return this builder
		 */
		public Builder weightsPort(int port) {
			this.weightsPort = port;
			return this;
		}

		/**
		 * Builds the settings.
		 * @return immutable settings
		 */
		public EngineSettings build() {
			return new EngineSettings(this);
		}

		private Builder copy() {
			try {
				return (Builder) clone();
			}
			catch (CloneNotSupportedException ex) {
				throw new IllegalStateException(ex);
			}
		}

	}

}
