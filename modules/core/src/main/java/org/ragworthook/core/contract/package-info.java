/**
 * The operators' text: what services there are, what each depends on, and who may call
 * them. A text is read and checked whole, with every mistake named by line and column; a
 * checked text becomes an immutable {@link org.ragworthook.core.contract.Contract}, which
 * every process acts by.
 */
package org.ragworthook.core.contract;
