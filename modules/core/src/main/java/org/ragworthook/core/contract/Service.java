package org.ragworthook.core.contract;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;

import org.ragworthook.core.error.ConfigException;
import org.ragworthook.core.error.ErrorCode;

/**
 * A service as defined in the contract, with its models, dependencies and deadlines.
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

	private final List<CallPattern> nonIdempotentCalls;

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
	 * Returns a builder of a service.
	 * @param name the name, unique among the services of the contract
	 * @param type the kind of upstreams that serve its requests
	 * @return a builder with default values for everything else
	 */
	public static Builder builder(String name, ServiceType type) {
		return new Builder(name, type);
	}

	/**
	 * Parses the section of one service.
	 * @param section the section as JSON
	 * @return the service
	 * @throws ConfigException with {@code CONFIG_INVALID} if the section violates the
	 * schema
	 */
	public static Service parse(String section) {
		ProblemCollector problems = new ProblemCollector();
		Optional<Service> read = NodeReader.read(section, problems)
			.map((node) -> ContractReader.service(node, problems));
		return read.filter((service) -> problems.sorted().isEmpty())
			.orElseThrow(() -> new ConfigException(ErrorCode.CONFIG_INVALID,
					problems.sorted().stream().map(Problem::toString).collect(Collectors.joining("\n"))));
	}

	/**
	 * Returns the name of the service.
	 * @return the name, unique among the services of the contract
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns the kind of upstreams that serve its requests.
	 * @return the type
	 */
	public ServiceType type() {
		return this.type;
	}

	/**
	 * Returns the models that its upstreams serve.
	 * @return the models; empty for a plain service
	 */
	public List<Model> models() {
		return this.models;
	}

	/**
	 * Returns the model with a given name or adapter.
	 * @param wanted the name of a model or of an adapter
	 * @return the model, or empty if this service has no such model or adapter
	 */
	public Optional<Model> model(String wanted) {
		return this.models.stream()
			.filter((model) -> model.name().equals(wanted) || model.adapters().contains(wanted))
			.findFirst();
	}

	/**
	 * Returns the services that it depends on.
	 * @return the names of the services
	 */
	public List<String> dependsOn() {
		return this.dependsOn;
	}

	/**
	 * Returns the failure domains that its upstreams run in.
	 * @return the the names of the failure domains
	 */
	public List<String> failureDomains() {
		return this.failureDomains;
	}

	/**
	 * Returns the planned number of upstreams.
	 * @return the number of upstreams that the contract specifies
	 */
	public int upstreams() {
		return this.upstreams;
	}

	/**
	 * Returns the default deadline of online requests.
	 * @return the time from arrival to the complete response
	 */
	public Duration onlineDeadline() {
		return this.onlineDeadline;
	}

	/**
	 * Returns the default deadline of batch jobs.
	 * @return the time from acceptance to the last result
	 */
	public Duration batchDeadline() {
		return this.batchDeadline;
	}

	/**
	 * Returns the calls that are not idempotent and must not be retried.
	 * @return the patterns; a call is non-idempotent if any of them matches
	 */
	public List<CallPattern> nonIdempotentCalls() {
		return this.nonIdempotentCalls;
	}

	/**
	 * Returns whether a call is idempotent and may be retried.
	 * @param method the HTTP method
	 * @param path the path, without the query
	 * @return whether no non-idempotent pattern matches the call
	 */
	public boolean idempotent(String method, String path) {
		return this.nonIdempotentCalls.stream().noneMatch((pattern) -> pattern.matches(method, path));
	}

	/**
	 * Returns whether its upstreams check fencing tokens, that is, reject orders with an
	 * outdated token.
	 * @return whether they check fencing tokens
	 */
	public boolean checksFencing() {
		return this.checksFencing;
	}

	@Override
	public String toString() {
		return this.name;
	}

	/**
	 * Builder of a service.
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

		private List<CallPattern> nonIdempotentCalls = List.of();

		private boolean checksFencing;

		private Builder(String name, ServiceType type) {
			this.name = Objects.requireNonNull(name, "name is null");
			this.type = Objects.requireNonNull(type, "type is null");
		}

		/**
		 * Sets the models.
		 * @param value the models that the upstreams serve
		 * @return this builder
		 */
		public Builder models(List<Model> value) {
			this.models = Objects.requireNonNull(value, "value is null");
			return this;
		}

		/**
		 * Sets the services that this service depends on.
		 * @param value the names of the services
		 * @return this builder
		 */
		public Builder dependsOn(List<String> value) {
			this.dependsOn = Objects.requireNonNull(value, "value is null");
			return this;
		}

		/**
		 * Sets the failure domains that the upstreams run in.
		 * @param value the names of the failure domains
		 * @return this builder
		 */
		public Builder failureDomains(List<String> value) {
			this.failureDomains = Objects.requireNonNull(value, "value is null");
			return this;
		}

		/**
		 * Sets the number of upstreams.
		 * @param value the planned number of upstreams
		 * @return this builder
		 */
		public Builder upstreams(int value) {
			this.upstreams = value;
			return this;
		}

		/**
		 * Sets the default deadlines.
		 * @param online the time from arrival to the complete response of an online
		 * request
		 * @param batch the time from acceptance to the last result of a batch job
		 * @return this builder
		 */
		public Builder deadlines(Duration online, Duration batch) {
			this.onlineDeadline = Objects.requireNonNull(online, "online is null");
			this.batchDeadline = Objects.requireNonNull(batch, "batch is null");
			return this;
		}

		/**
		 * Sets the calls that must not be retried.
		 * @param value the patterns; a call is non-idempotent if any of them matches
		 * @return this builder
		 */
		public Builder nonIdempotentCalls(List<CallPattern> value) {
			this.nonIdempotentCalls = Objects.requireNonNull(value, "value is null");
			return this;
		}

		/**
		 * Sets whether the upstreams check fencing tokens.
		 * @param value whether they reject orders with an outdated token
		 * @return this builder
		 */
		public Builder checksFencing(boolean value) {
			this.checksFencing = value;
			return this;
		}

		/**
		 * Builds the service.
		 * @return a new service
		 */
		public Service build() {
			return new Service(this);
		}

	}

}
