/**
 * Tests of the contract and of orders between processes.
 */
package org.ragworthook.daemon.control;
