package org.ragworthook.gateway.account;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.ragworthook.core.time.ManualTime;

import static com.google.common.truth.Truth.assertThat;

/** Tests which account a caller's API key is mapped to. */
class AccessControlTests {

	private final ManualTime time = ManualTime.of();

	private final List<AccessDecision> outcomes = new ArrayList<>();

	private Accounts accounts = Accounts.builder()
		.add(account("acme"), List.of("key-1", "key-2", "both"))
		.add(account("zenith"), List.of("key-3", "", "both"))
		.build();

	private boolean connected = true;

	private Runnable duringCheck = () -> {
	};

	private final ConfigurationLease lease = ConfigurationLease.of(this.time, this.time, Runnable::run, () -> {
		this.duringCheck.run();
		return this.connected ? CompletableFuture.completedFuture(true)
				: CompletableFuture.failedFuture(new IllegalStateException("cut off"));
	}, LeaseTerms.ofRevocationBound(Duration.ofSeconds(5)), new Random(1));

	private final AccessControl control = AccessControl.of(() -> this.accounts, Optional.of(this.lease));

	private static ClientAccount account(String name) {
		return new ClientAccount(name, Optional.empty(), Quota.UNLIMITED);
	}

	private AccessDecision authenticate(List<String> keys) {
		this.outcomes.clear();
		this.control.authenticate(keys, this.outcomes::add);
		return this.outcomes.get(0);
	}

	@ParameterizedTest
	@CsvSource({ "key-1, acme", "key-2, acme", "key-3, zenith" })
	void shouldGrantTheAccountThatHoldsTheKey(String key, String holder) {
		assertThat(authenticate(List.of(key)).account().map(ClientAccount::name)).isEqualTo(Optional.of(holder));
	}

	static List<List<String>> badKeys() {
		return List.of(List.of(), List.of(""), List.of("KEY-1"), List.of("key-1 "), List.of("key-1,key-2"),
				List.of("key-1", "key-1"), List.of("key-1", "key-3"), List.of("both"), List.of("k".repeat(60_000)),
				List.of("kl\u00fc"));
	}

	@ParameterizedTest
	@MethodSource("badKeys")
	void shouldDenyUnlessExactlyOneKeyOfOneAccount(List<String> keys) {
		assertThat(authenticate(keys).verdict()).isEqualTo(AccessDecision.Verdict.DENIED);
	}

	/** Guards against rejecting a key that was added since the last confirmation. */
	@Test
	void shouldConfirmTheConfigurationBeforeDenyingAKey() {
		authenticate(List.of("key-1"));
		this.time.advance(Duration.ofMillis(2_100));
		this.duringCheck = () -> this.accounts = Accounts.builder().add(account("acme"), List.of("fresh")).build();
		assertThat(authenticate(List.of("fresh")).verdict()).isEqualTo(AccessDecision.Verdict.GRANTED);
	}

	/**
	 * Guards against a 401 from an entry that is cut off from the platform and therefore
	 * cannot know whether the key is valid.
	 */
	@Test
	void shouldNotDenyWhileTheConfigurationCannotBeConfirmed() {
		authenticate(List.of("key-1"));
		this.connected = false;
		this.time.advance(Duration.ofMillis(2_100));
		assertThat(authenticate(List.of("fresh")).verdict()).isEqualTo(AccessDecision.Verdict.UNCONFIRMED);
		assertThat(authenticate(List.of("key-1")).verdict()).isEqualTo(AccessDecision.Verdict.GRANTED);
		this.time.advance(Duration.ofMillis(2_500));
		assertThat(authenticate(List.of("key-1")).verdict()).isEqualTo(AccessDecision.Verdict.UNCONFIRMED);
		assertThat(this.control.unavailable()).isTrue();
	}

	@Test
	void shouldRequireNoKeyWithoutAccounts() {
		this.accounts = Accounts.none();
		assertThat(this.control.keyRequired()).isFalse();
		assertThat(this.control.unavailable()).isFalse();
	}

	@ParameterizedTest
	@CsvSource({ "-1, 0", "0, -1", "NaN, 0" })
	void shouldRejectANegativeOrUndefinedQuota(double perSecond, double burst) {
		Optional<Quota> quota;
		try {
			quota = Optional.of(new Quota(perSecond, burst));
		}
		catch (IllegalArgumentException ex) {
			quota = Optional.empty();
		}
		assertThat(quota).isEqualTo(Optional.empty());
	}

}
