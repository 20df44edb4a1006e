import process from 'node:process';
import type {CommandModule} from 'yargs';
import {createLocalDeployment, demoKey} from '../../demo/local-deployment.ts';
import {
	countBookings, runMixedLoad, waitUntilReady, type LoadRow,
} from '../../demo/mixed-load.ts';
import {createLog} from '../create-log.ts';
import {exitCode} from './exit-code.ts';
import {waitForTermination} from './termination.ts';

type Options = {readonly stay: boolean; readonly requests: number};

/** `wagtailtack demo`: serves a mixed load on embedded stand-ins and prints a report. */
export const demoCommand: CommandModule<unknown, Options> = {
	command: 'demo',
	describe: 'Serve a mixed load on embedded stand-ins',
	builder: yargs => yargs
		.option('stay', {type: 'boolean', default: false, describe: 'Keep serving and print the addresses'})
		.option('requests', {type: 'number', default: 300, describe: 'Number of requests'}),
	async handler({stay, requests}) {
		await using deployment = await createLocalDeployment({log: createLog('warn')});
		await waitUntilReady(deployment);
		if (stay) {
			const peers = deployment.daemons.map(({peerAddress}) => `${peerAddress.host}:${peerAddress.port}`);
			console.log(`Daemons: ${deployment.urls.join(' ')}\nPeers: ${peers.join(' ')}\nBearer key: ${demoKey}`);
			await waitForTermination();
			return;
		}

		const rows = await runMixedLoad(deployment, requests);
		printReport(rows);
		const bookings = countBookings(deployment, rows);
		console.log(`Bookings sent: ${bookings.sent}, executed: ${bookings.run}.`);
		if (bookings.run !== bookings.sent || rows.some(row => row.succeeded < row.sent)) {
			process.exitCode = exitCode.failure;
		}
	},
};

function printReport(rows: readonly LoadRow[]): void {
	console.log('work                      sent     ok  first byte p50/p99 ms  total p50/p99 ms');
	for (const row of rows) {
		const cells = [
			row.name.padEnd(24),
			String(row.sent).padStart(5),
			String(row.succeeded).padStart(6),
			formatPercentiles(row.firstByteMs).padStart(22),
			formatPercentiles(row.totalMs).padStart(17),
		];
		console.log(cells.join(' '));
	}
}

function formatPercentiles(histogram: LoadRow['totalMs']): string {
	return [50, 99].map(percentile => histogram.getValueAtPercentile(percentile).toFixed(0)).join(' / ');
}
