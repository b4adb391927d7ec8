package org.ragworthook.core.contract;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;

import org.ragworthook.core.error.ConfigException;
import org.ragworthook.core.error.ErrorCode;

/**
 * A service that the system keeps answering.
 */
public final class Service {

	private final String name;

	private final ServiceType type;

	private final List<Model> models;

	private final List<String> dependsOn;

	private final List<String> failureDomains;

	private final int upstreams;

	private final Duration onlineDeadline;

	private final Duration batchDeadline;

	private final List<CallRule> nonIdempotentCalls;

	private final boolean checksFencing;

	private Service(Builder builder) {
		this.name = builder.name;
		this.type = builder.type;
		this.models = List.copyOf(builder.models);
		this.dependsOn = List.copyOf(builder.dependsOn);
		this.failureDomains = List.copyOf(builder.failureDomains);
		this.upstreams = builder.upstreams;
		this.onlineDeadline = builder.onlineDeadline;
		this.batchDeadline = builder.batchDeadline;
		this.nonIdempotentCalls = List.copyOf(builder.nonIdempotentCalls);
		this.checksFencing = builder.checksFencing;
	}

	/**
	 * Starts a service.
	 * @param name its name, unique in the text
	 * @param type what answers its requests
	 * @return a builder with nothing else set
	 */
	public static Builder builder(String name, ServiceType type) {
		return new Builder(name, type);
	}

	/**
	 * Reads a service's own section of a text.
	 * @param section the JSON of the section
	 * @return the service
	 * @throws ConfigException if the section breaks a rule of the schema
	 */
	public static Service parse(String section) {
		Problems problems = new Problems();
		Optional<Service> read = NodeReader.read(section, problems)
			.map((node) -> ContractReader.service(node, problems));
		return read.filter((service) -> problems.inOrder().isEmpty())
			.orElseThrow(() -> new ConfigException(ErrorCode.CONFIG_INVALID,
					problems.inOrder().stream().map(Problem::toString).collect(Collectors.joining("\n"))));
	}

	/**
	 * Returns the name.
	 * @return a name unique in the text
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns what answers its requests.
	 * @return the type
	 */
	public ServiceType type() {
		return this.type;
	}

	/**
	 * Returns the models that its upstreams are to hold.
	 * @return the models; none for a plain service
	 */
	public List<Model> models() {
		return this.models;
	}

	/**
	 * Returns one of its models.
	 * @param wanted the name of a model or of one of its adapters
	 * @return the model, or empty if this service has none of that name
	 */
	public Optional<Model> model(String wanted) {
		return this.models.stream()
			.filter((model) -> model.name().equals(wanted) || model.adapters().contains(wanted))
			.findFirst();
	}

	/**
	 * Returns the services that it cannot answer without.
	 * @return their names
	 */
	public List<String> dependsOn() {
		return this.dependsOn;
	}

	/**
	 * Returns where its upstreams stand.
	 * @return the names of failure domains
	 */
	public List<String> failureDomains() {
		return this.failureDomains;
	}

	/**
	 * Returns how many upstreams it has.
	 * @return the number that the operators count on
	 */
	public int upstreams() {
		return this.upstreams;
	}

	/**
	 * Returns the time that an online request has if it names none.
	 * @return the time from arrival to the whole answer
	 */
	public Duration onlineDeadline() {
		return this.onlineDeadline;
	}

	/**
	 * Returns the time that a batch job has if it names none.
	 * @return the time from acceptance to the last result
	 */
	public Duration batchDeadline() {
		return this.batchDeadline;
	}

	/**
	 * Returns the calls that must not be repeated.
	 * @return rules, any of which may cover a call
	 */
	public List<CallRule> nonIdempotentCalls() {
		return this.nonIdempotentCalls;
	}

	/**
	 * Tells whether a call may be repeated.
	 * @param method the HTTP method
	 * @param path the path, without the query
	 * @return whether running it twice has the effect of running it once
	 */
	public boolean idempotent(String method, String path) {
		return this.nonIdempotentCalls.stream().noneMatch((rule) -> rule.covers(method, path));
	}

	/**
	 * Tells whether its upstreams refuse orders with an old fencing number by themselves.
	 * @return whether they check
	 */
	public boolean checksFencing() {
		return this.checksFencing;
	}

	@Override
	public String toString() {
		return this.name;
	}

	/**
	 * Collects the parts of a service.
	 */
	public static final class Builder {

		private final String name;

		private final ServiceType type;

		private List<Model> models = List.of();

		private List<String> dependsOn = List.of();

		private List<String> failureDomains = List.of();

		private int upstreams;

		private Duration onlineDeadline = Duration.ofSeconds(30);

		private Duration batchDeadline = Duration.ofHours(24);

		private List<CallRule> nonIdempotentCalls = List.of();

		private boolean checksFencing;

		private Builder(String name, ServiceType type) {
			this.name = Objects.requireNonNull(name, "name is null");
			this.type = Objects.requireNonNull(type, "type is null");
		}

		/**
		 * Sets the models.
		 * @param value the models that upstreams are to hold
		 * @return this builder
		 */
		public Builder models(List<Model> value) {
			this.models = Objects.requireNonNull(value, "value is null");
			return this;
		}

		/**
		 * Sets the dependencies.
		 * @param value names of services
		 * @return this builder
		 */
		public Builder dependsOn(List<String> value) {
			this.dependsOn = Objects.requireNonNull(value, "value is null");
			return this;
		}

		/**
		 * Sets where the upstreams stand.
		 * @param value names of failure domains
		 * @return this builder
		 */
		public Builder failureDomains(List<String> value) {
			this.failureDomains = Objects.requireNonNull(value, "value is null");
			return this;
		}

		/**
		 * Sets the number of upstreams.
		 * @param value how many there are
		 * @return this builder
		 */
		public Builder upstreams(int value) {
			this.upstreams = value;
			return this;
		}

		/**
		 * Sets the deadlines.
		 * @param online time of an online request
		 * @param batch time of a batch job
		 * @return this builder
		 */
		public Builder deadlines(Duration online, Duration batch) {
			this.onlineDeadline = Objects.requireNonNull(online, "online is null");
			this.batchDeadline = Objects.requireNonNull(batch, "batch is null");
			return this;
		}

		/**
		 * Sets the calls that must not be repeated.
		 * @param value rules, any of which may cover a call
		 * @return this builder
		 */
		public Builder nonIdempotentCalls(List<CallRule> value) {
			this.nonIdempotentCalls = Objects.requireNonNull(value, "value is null");
			return this;
		}

		/**
		 * Sets whether the upstreams check fencing numbers.
		 * @param value whether they check
		 * @return this builder
		 */
		public Builder checksFencing(boolean value) {
			this.checksFencing = value;
			return this;
		}

		/**
		 * Returns the service.
		 * @return a new service
		 */
		public Service build() {
			return new Service(this);
		}

	}

}
