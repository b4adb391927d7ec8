/**
 * Measures the control parts: texts, slices and reconciliation.
 */
package org.ragworthook.standin.control;
