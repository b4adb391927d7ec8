package org.ragworthook.core.retry;

import org.jetbrains.kotlinx.lincheck.LinChecker;
import org.jetbrains.kotlinx.lincheck.annotations.Operation;
import org.jetbrains.kotlinx.lincheck.strategy.managed.modelchecking.ModelCheckingOptions;
import org.junit.jupiter.api.Test;

/**
 * Model-checks {@link RetryBudget}. When an upstream is lost, requests fail on several
 * threads at once; a lost update would allow too many retries or withhold one forever.
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
