package org.ragworthook.core.retry;

import org.jetbrains.kotlinx.lincheck.LinChecker;
import org.jetbrains.kotlinx.lincheck.annotations.Operation;
import org.jetbrains.kotlinx.lincheck.strategy.managed.modelchecking.ModelCheckingOptions;
import org.junit.jupiter.api.Test;

/**
 * Many requests fail on several threads at once when an upstream is lost. A budget that
 * counted wrongly then would let retries multiply the load, or keep one back for good.
 */
public class RetryBudgetConcurrencyTests {

	private final RetryBudget budget = RetryBudget.of(0.5, 1);

	@Operation
	public void deposit() {
		this.budget.deposit();
	}

	@Operation
	public boolean tryWithdraw() {
		return this.budget.tryWithdraw();
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
