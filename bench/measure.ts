/** One measured value; printed as a JSON line. */
export type Measurement = {
	readonly name: string;
	readonly value: number;
	readonly unit: string;
	/** Value of the baseline, measured in the same run. */
	readonly baseline?: number;
	/** Limit from the stated target; the value must meet it. */
	readonly bound?: number;
	/** False if the value does not meet the bound. */
	readonly ok: boolean;
};

/** A benchmark: a group of measurements that run together. */
export type Measure = {
	readonly name: string;
	/** True if the results do not depend on the machine: counts, and times in virtual time with a fixed seed. */
	readonly deterministic: boolean;
	readonly run: () => Promise<readonly Measurement[]>;
};

/** Creates a measurement whose value must be less than or equal to the bound. */
export function atMost(name: string, value: number, unit: string, limits: {readonly bound: number; readonly baseline?: number}): Measurement {
	return {
		name, value, unit, ...limits, ok: value <= limits.bound,
	};
}

/** Creates a measurement whose value must be greater than or equal to the bound. */
export function atLeast(name: string, value: number, unit: string, limits: {readonly bound: number; readonly baseline?: number}): Measurement {
	return {
		name, value, unit, ...limits, ok: value >= limits.bound,
	};
}
