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
 * An accepted text and the lookups that requests need. Immutable: a process replaces it
 * as a whole when a newer version comes into force.
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
	 * Reads a text that is to be acted by.
	 * @param version the version under which it was accepted
	 * @param text the JSON with comments
	 * @return the contract
	 * @throws ConfigException if the text breaks a rule; its detail lists every place
	 */
	public static Contract parse(long version, String text) {
		ValidationResult result = validate(version, text);
		return result.contract().orElseThrow(() -> refused(result));
	}

	/**
	 * Reads a text and reports everything that is wrong with it.
	 * @param version the version that it would have
	 * @param text the JSON with comments
	 * @return the contract if there is no error, and all problems
	 */
	public static ValidationResult validate(long version, String text) {
		Objects.requireNonNull(text, "text is null");
		Problems problems = new Problems();
		Optional<Contract> read = ContractReader.read(version, text, problems);
		List<Problem> found = problems.inOrder();
		return new ValidationResult(found.stream().anyMatch(Problem::isError) ? Optional.empty() : read, found);
	}

	private static ConfigException refused(ValidationResult result) {
		return new ConfigException(ErrorCode.CONFIG_INVALID,
				result.errors().stream().map(Problem::toString).collect(Collectors.joining("\n")));
	}

	/**
	 * Returns the version.
	 * @return a number that grows with each accepted change
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the text as the operators wrote it.
	 * @return the JSON with comments
	 */
	public String text() {
		return this.text;
	}

	/**
	 * Returns the name of the deployment.
	 * @return the name
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns the regions with their failure domains.
	 * @return names of failure domains by name of region
	 */
	public Map<String, List<String>> regions() {
		return this.regions;
	}

	/**
	 * Returns all services.
	 * @return the services in order of the text
	 */
	public List<Service> services() {
		return List.copyOf(this.services.values());
	}

	/**
	 * Returns a service.
	 * @param wanted its name
	 * @return the service, or empty if there is none of that name
	 */
	public Optional<Service> service(String wanted) {
		return Optional.ofNullable(this.services.get(wanted));
	}

	/**
	 * Returns the section of a service without comments and spaces.
	 * @param service its name
	 * @return the JSON text, which is the same for sections that mean the same
	 */
	public Optional<String> section(String service) {
		return Optional.ofNullable(this.sections.get(service));
	}

	/**
	 * Returns the service that answers for a model.
	 * @param model the name of a model or of an adapter
	 * @return the service, or empty if no service has such a model
	 */
	public Optional<Service> serviceOfModel(String model) {
		return Optional.ofNullable(this.servicesByModel.get(model));
	}

	/**
	 * Returns all accounts.
	 * @return the accounts in order of the text
	 */
	public List<Account> accounts() {
		return this.accounts;
	}

	/**
	 * Returns the account to which a key belongs. The key is hashed before anything is
	 * compared, so that the time taken tells nothing of how much of a guess was right.
	 * @param bearerKey the key as the caller sent it
	 * @return the account, or empty if the key is not known
	 */
	public Optional<Account> accountOfKey(String bearerKey) {
		KeyHash hash = KeyHash.of(bearerKey);
		return Optional.ofNullable(this.accountsByKey.get(hash))
			.filter((account) -> account.keys().stream().anyMatch((key) -> key.matches(hash)));
	}

	/**
	 * Returns the operator to whom a key belongs.
	 * @param bearerKey the key as the operator sent it
	 * @return the operator, or empty if the key is no operator's
	 */
	public Optional<Operator> operatorOfKey(String bearerKey) {
		KeyHash hash = KeyHash.of(bearerKey);
		return this.operators.stream()
			.filter((operator) -> operator.keys().stream().anyMatch((key) -> key.matches(hash)))
			.findFirst();
	}

	/**
	 * Returns those who may change the text.
	 * @return the operators in order of the text
	 */
	public List<Operator> operators() {
		return this.operators;
	}

	/**
	 * Returns how long things are kept.
	 * @return the retention
	 */
	public Retention retention() {
		return this.retention;
	}

	/**
	 * Returns what the store of model weights bears.
	 * @return its limits
	 */
	public WeightStore weightStore() {
		return this.weightStore;
	}

	static Builder builder(long version, String text) {
		return new Builder(version, text);
	}

	/**
	 * Collects the parts of a contract while its text is read.
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
