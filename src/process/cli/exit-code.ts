/** Exit codes of the command line. */
export const exitCode = {
	success: 0,
	/** The command ran and reports findings or a failure. */
	failure: 1,
	/** The command line itself is wrong. */
	usageError: 2,
} as const;
