/** Exit codes of the command-line interface. */
export const exitCode = {
	success: 0,
	/** The command ran and reported findings or a failure. */
	failure: 1,
	/** The command line is invalid. */
	usageError: 2,
} as const;
