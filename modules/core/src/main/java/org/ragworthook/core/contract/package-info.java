/**
 * The contract: the declarative configuration of a deployment, written by the operators
 * as JSON with comments. It defines the services, their models and dependencies, the
 * accounts that may call them, and the operators that may change it.
 * {@link org.ragworthook.core.contract.Contract} is the parsed and validated form;
 * validation reports all errors with line and column.
 * {@link org.ragworthook.core.contract.ContractRepository} stores accepted revisions, and
 * {@link org.ragworthook.core.contract.ContractWatch} follows them and updates the
 * {@link org.ragworthook.core.contract.ActiveContract} of a process.
 */
package org.ragworthook.core.contract;
