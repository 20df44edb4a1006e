import {linearRegression, linearRegressionLine, rSquared} from 'simple-statistics';

/** A size and the cost measured for it. */
export type Point = readonly [size: number, cost: number];

/** Linear fit of cost over size, from at least three points. */
export type Slope = {
	readonly name: string;
	readonly costUnit: string;
	readonly sizeUnit: string;
	readonly points: readonly Point[];
	readonly slope: number;
	readonly intercept: number;
	/** Largest absolute residual of a point, in the unit of the cost. */
	readonly residual: number;
	readonly rSquared: number;
	/** Size at which the system must work. */
	readonly designSize: number;
	/** Cost that the fit predicts for the design size. */
	readonly designCost: number;
};

/** A cost to be measured at several sizes. */
export type SlopeMeasure = {
	readonly name: string;
	readonly costUnit: string;
	readonly sizeUnit: string;
	readonly sizes: readonly number[];
	readonly designSize: number;
	readonly measure: (size: number) => number | Promise<number>;
};

/** Measures the cost at each size and fits a line. */
export async function measureSlope({measure, sizes, ...description}: SlopeMeasure): Promise<Slope> {
	const points: Array<[number, number]> = [];
	for (const size of sizes) {
		points.push([size, await measure(size)]);
	}

	const {m, b} = linearRegression(points);
	const line = linearRegressionLine({m, b});
	return {
		...description,
		points,
		slope: m,
		intercept: b,
		residual: Math.max(...points.map(([size, cost]) => Math.abs(cost - line(size)))),
		rSquared: rSquared(points, line),
		designCost: line(description.designSize),
	};
}
