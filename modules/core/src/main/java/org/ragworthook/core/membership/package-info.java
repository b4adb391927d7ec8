/**
 * Determines which instances may get work, by combining the platform's delayed instance
 * list with the state of the links to the instances.
 */
package org.ragworthook.core.membership;
