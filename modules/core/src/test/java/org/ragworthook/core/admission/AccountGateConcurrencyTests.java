package org.ragworthook.core.admission;

import org.jetbrains.kotlinx.lincheck.LinChecker;
import org.jetbrains.kotlinx.lincheck.annotations.Operation;
import org.jetbrains.kotlinx.lincheck.strategy.managed.modelchecking.ModelCheckingOptions;
import org.junit.jupiter.api.Test;

/**
 * Requests of one account come and end on several threads at once. A gate whose steps
 * interleave badly would refuse a request although there is room, or let in one too many.
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
