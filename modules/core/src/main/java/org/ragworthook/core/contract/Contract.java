package org.ragworthook.core.contract;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;

import org.ragworthook.core.error.ConfigException;
import org.ragworthook.core.error.ErrorCode;

/**
 * A parsed contract with the indexes that request processing needs. Immutable: a process
 * replaces the whole object when it activates a newer version.
 */
public final class Contract {

	private final long version;

	private final String text;

	private final String name;

	private final Map<String, List<String>> regions;

	private final Map<String, Service> services;

	private final Map<String, String> sections;

	private final Map<String, Service> servicesByModel;

	private final List<Account> accounts;

	private final Map<KeyHash, Account> accountsByKey;

	private final List<Operator> operators;

	private final Retention retention;

	private final WeightStore weightStore;

	private Contract(Builder builder) {
		this.version = builder.version;
		this.text = builder.text;
		this.name = builder.name;
		this.regions = builder.regions;
		this.services = builder.services;
		this.sections = builder.sections;
		this.accounts = List.copyOf(builder.accounts);
		this.operators = List.copyOf(builder.operators);
		this.retention = builder.retention;
		this.weightStore = builder.weightStore;
		this.servicesByModel = byModel(builder.services.values());
		this.accountsByKey = byKey(this.accounts);
	}

	private static Map<String, Service> byModel(Iterable<Service> services) {
		Map<String, Service> byModel = new HashMap<>();
		for (Service service : services) {
			for (Model model : service.models()) {
				byModel.put(model.name(), service);
				model.adapters().forEach((adapter) -> byModel.put(adapter, service));
			}
		}
		return byModel;
	}

	private static Map<KeyHash, Account> byKey(List<Account> accounts) {
		Map<KeyHash, Account> byKey = new HashMap<>();
		accounts.forEach((account) -> account.keys().forEach((key) -> byKey.put(key, account)));
		return byKey;
	}

	/**
	 * Parses a contract and rejects it if it has any error.
	 * @param version the version of the contract
	 * @param text the contract as JSON with comments
	 * @return the contract
	 * @throws ConfigException with {@code CONFIG_INVALID} if the text has an error; its
	 * detail lists all errors with their positions
	 */
	public static Contract parse(long version, String text) {
		ValidationResult result = validate(version, text);
		return result.contract().orElseThrow(() -> refused(result));
	}

	/**
	 * Parses and validates a contract and reports all problems instead of stopping at the
	 * first.
	 * @param version the version that the contract would have
	 * @param text the contract as JSON with comments
	 * @return the contract, if there is no error, and all errors and warnings
	 */
	public static ValidationResult validate(long version, String text) {
		Objects.requireNonNull(text, "text is null");
		ProblemCollector problems = new ProblemCollector();
		Optional<Contract> read = ContractReader.read(version, text, problems);
		List<Problem> found = problems.sorted();
		return new ValidationResult(found.stream().anyMatch(Problem::isError) ? Optional.empty() : read, found);
	}

	private static ConfigException refused(ValidationResult result) {
		return new ConfigException(ErrorCode.CONFIG_INVALID,
				result.errors().stream().map(Problem::toString).collect(Collectors.joining("\n")));
	}

	/**
	 * Returns the version of this contract.
	 * @return a number that increases with each accepted change
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the source text as submitted, including comments.
	 * @return the JSON with comments
	 */
	public String text() {
		return this.text;
	}

	/**
	 * Returns the name of the deployment.
	 * @return the name of the deployment
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns the regions and their failure domains.
	 * @return the names of the failure domains by region name
	 */
	public Map<String, List<String>> regions() {
		return this.regions;
	}

	/**
	 * Returns all services.
	 * @return the services in the order of the text
	 */
	public List<Service> services() {
		return List.copyOf(this.services.values());
	}

	/**
	 * Returns the service with a given name.
	 * @param wanted the name of the service
	 * @return the service, or empty if there is none of that name
	 */
	public Optional<Service> service(String wanted) {
		return Optional.ofNullable(this.services.get(wanted));
	}

	/**
	 * Returns the section of a service as normalised JSON, without comments and
	 * whitespace. Two sections that differ only in formatting have the same normalised
	 * form.
	 * @param service the name of the service
	 * @return the normalised JSON, or empty if there is no service of that name
	 */
	public Optional<String> section(String service) {
		return Optional.ofNullable(this.sections.get(service));
	}

	/**
	 * Returns the service that serves a model.
	 * @param model the name of a model or of an adapter
	 * @return the service, or empty if no service has such a model
	 */
	public Optional<Service> serviceOfModel(String model) {
		return Optional.ofNullable(this.servicesByModel.get(model));
	}

	/**
	 * Returns all accounts.
	 * @return the accounts in the order of the text
	 */
	public List<Account> accounts() {
		return this.accounts;
	}

	/**
	 * Returns the account that owns an API key. The lookup compares hashes, so its timing
	 * does not reveal how much of a guessed key is correct.
	 * @param bearerKey the plain API key as sent by the caller
	 * @return the account, or empty if the key is unknown
	 */
	public Optional<Account> accountOfKey(String bearerKey) {
		KeyHash hash = KeyHash.of(bearerKey);
		return Optional.ofNullable(this.accountsByKey.get(hash))
			.filter((account) -> account.keys().stream().anyMatch((key) -> key.matches(hash)));
	}

	/**
	 * Returns the operator that owns a key.
	 * @param bearerKey the plain key as sent by the operator
	 * @return the operator, or empty if no operator has this key
	 */
	public Optional<Operator> operatorOfKey(String bearerKey) {
		KeyHash hash = KeyHash.of(bearerKey);
		return this.operators.stream()
			.filter((operator) -> operator.keys().stream().anyMatch((key) -> key.matches(hash)))
			.findFirst();
	}

	/**
	 * Returns the operators that may change the contract.
	 * @return the operators in the order of the text
	 */
	public List<Operator> operators() {
		return this.operators;
	}

	/**
	 * Returns how long job results and old revisions are retained.
	 * @return the retention settings
	 */
	public Retention retention() {
		return this.retention;
	}

	/**
	 * Returns the load limits of the model weight store.
	 * @return the limits
	 */
	public WeightStore weightStore() {
		return this.weightStore;
	}

	static Builder builder(long version, String text) {
		return new Builder(version, text);
	}

	/**
	 * Mutable builder that {@link ContractReader} fills while it reads a text.
	 */
	static final class Builder {

		private final long version;

		private final String text;

		private final Map<String, Service> services = new LinkedHashMap<>();

		private final Map<String, String> sections = new HashMap<>();

		private final List<Account> accounts = new ArrayList<>();

		private final List<Operator> operators = new ArrayList<>();

		private String name = "";

		private Map<String, List<String>> regions = Map.of();

		private Retention retention = Retention.standard();

		private WeightStore weightStore = WeightStore.standard();

		private Builder(long version, String text) {
			this.version = version;
			this.text = text;
		}

		Builder name(String value) {
			this.name = value;
			return this;
		}

		Builder regions(Map<String, List<String>> value) {
			this.regions = value;
			return this;
		}

		Builder service(Service service, String section) {
			this.services.put(service.name(), service);
			this.sections.put(service.name(), section);
			return this;
		}

		Builder account(Account account) {
			this.accounts.add(account);
			return this;
		}

		Builder operator(Operator operator) {
			this.operators.add(operator);
			return this;
		}

		Builder retention(Retention value) {
			this.retention = value;
			return this;
		}

		Builder weightStore(WeightStore value) {
			this.weightStore = value;
			return this;
		}

		Contract build() {
			return new Contract(this);
		}

	}

}
