package org.ragworthook.core.admission;

import org.jetbrains.kotlinx.lincheck.LinChecker;
import org.jetbrains.kotlinx.lincheck.annotations.Operation;
import org.jetbrains.kotlinx.lincheck.strategy.managed.modelchecking.ModelCheckingOptions;
import org.junit.jupiter.api.Test;

/**
 * Model-checks {@link AccountGate} for requests of one account that start and end on
 * several threads. A race between admission and release would refuse a request below the
 * limit or admit one above it.
 */
public class AccountGateConcurrencyTests {

	private final AccountGate gate = AccountGate.of(() -> 0);

	public AccountGateConcurrencyTests() {
		this.gate.setLimits(0, 1, 0);
	}

	@Operation
	public boolean admit() {
		return this.gate.admit().isEmpty();
	}

	@Operation
	public void requestEnded() {
		this.gate.release(0);
	}

	@Test
	void shouldBeLinearizable() {
		LinChecker.check(getClass(),
				new ModelCheckingOptions().iterations(20)
					.threads(2)
					.actorsBefore(1)
					.actorsPerThread(2)
					.actorsAfter(0)
					.invocationsPerIteration(500));
	}

}
