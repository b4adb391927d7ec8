/**
 * Small stand-ins of the systems around this one, each behind the published interface of
 * what it stands for, with faults that a control call switches on. There is no simulator
 * of a cluster: the system's own processes run as they are.
 */
package org.ragworthook.standin;
