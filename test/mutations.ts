/** Change that disables a guard in a copy of the sources; the named tests must then fail. */
export type Mutation = {
	/** Name of the guard in docs/promises-membership.md. */
	readonly guard: string;
	readonly file: string;
	/** Text that occurs once in the file. */
	readonly from: string;
	readonly to: string;
	/** Test files to run, as Vitest filters. */
	readonly tests: readonly string[];
};

const machine = ['test/process/membership/membership.test.ts'];
const schedules = ['test/process/membership/membership-schedules.test.ts'];
const connections = ['test/connection/silent-connections.test.ts'];
const lifecycle = ['test/process/lifecycle.test.ts'];
const requestModel = ['test/process/fleet/request-model.test.ts'];
const openRequest = 'src/request/open-request.ts';
const folder = 'src/process/membership';

/** Mutations of the membership, the leaving marks, the connection pool and the lifecycle. */
export const mutations: readonly Mutation[] = [
	{
		guard: 'news once',
		file: `${folder}/news-queue.ts`,
		from: 'seen.recent.has(counter) ||',
		to: 'false ||',
		tests: machine,
	},
	{
		guard: 'no flood',
		file: `${folder}/membership.ts`,
		from: '&& !this.#applyLeavingNews(news.item.value, now)) {',
		to: '&& !(this.#applyLeavingNews(news.item.value, now) || true)) {',
		tests: machine,
	},
	{
		guard: 'leaving first',
		file: `${folder}/news-queue.ts`,
		from: 'a.priority - b.priority ||',
		to: '',
		tests: machine,
	},
	{
		guard: 'message size',
		file: `${folder}/news-queue.ts`,
		from: 'if (bytes + entry.bytes > limit) {',
		to: 'if (bytes > 1e9 + limit) {',
		tests: machine,
	},
	{
		guard: 'age of news',
		file: `${folder}/news-queue.ts`,
		from: 'copy.item.value.ageMs += waited;',
		to: '',
		tests: machine,
	},
	{
		guard: 'stale news after a pause',
		file: `${folder}/membership.ts`,
		from: 'this.#discardNewsUntil = now + newsDiscardMs;',
		to: '',
		tests: machine,
	},
	{
		guard: 'lower incarnation',
		file: `${folder}/member-table.ts`,
		from: 'known === undefined || heartbeat.incarnation < known.incarnation',
		to: 'known === undefined',
		tests: machine,
	},
	{
		guard: 'incarnation of an old process',
		file: `${folder}/membership.ts`,
		from: 'knownIncarnation > this.#incarnation && canRaiseIncarnation',
		to: 'knownIncarnation > this.#incarnation',
		tests: machine,
	},
	{
		guard: 'incarnation after a clock set back',
		file: `${folder}/membership.ts`,
		from: 'this.#incarnation = knownIncarnation + 1;',
		to: '',
		tests: schedules,
	},
	{
		guard: 'fresh evidence',
		file: `${folder}/member-table.ts`,
		from: '|| now - record.evidenceAt >= suspectAfterMs) {',
		to: '|| true) {',
		tests: machine,
	},
	{
		guard: 'evidence through others',
		file: `${folder}/membership.ts`,
		from: 'this.#table.mergeDigest(heartbeat.digest, now);',
		to: '',
		tests: machine,
	},
	{
		guard: 'own pause',
		file: `${folder}/membership.ts`,
		from: 'this.#table.compensateForPause(gap - heartbeatIntervalMs);',
		to: '',
		tests: machine,
	},
	{
		guard: 'heartbeats to the dead',
		file: `${folder}/heartbeat-targets.ts`,
		from: 'this.#localMembers(member => member.condition === \'dead\')',
		to: 'this.#localMembers(() => false)',
		tests: schedules,
	},
	{
		guard: 'deaths repeated',
		file: `${folder}/membership.ts`,
		from: 'this.#announceDeathsAgain(now);',
		to: '',
		tests: schedules,
	},
	{
		guard: 'empty host list',
		file: `${folder}/membership.ts`,
		from: 'if (listed.length > 0) {',
		to: 'if (listed.length > -1) {',
		tests: machine,
	},
	{
		guard: 'lagging list',
		file: `${folder}/leaving-marks.ts`,
		from: 'upstream.isLeaving !== (previous.get(upstream.id)?.isLeaving ?? false)',
		to: 'upstream.isLeaving !== this.isLeaving(upstream.id)',
		tests: machine,
	},
	{
		guard: 'newest sign',
		file: `${folder}/leaving-marks.ts`,
		from: 'known !== undefined && !isNewer(sign, known)',
		to: 'false',
		tests: machine,
	},
	{
		guard: 'marks repeated',
		file: `${folder}/membership.ts`,
		from: 'this.#marks.takeDueRepeats(now, this.#hasNewcomer)',
		to: 'this.#marks.takeDueRepeats(now, false)',
		tests: machine,
	},
	{
		guard: 'urgent news',
		file: `${folder}/news-outbox.ts`,
		from: 'this.#urgent.push(isLocal);',
		to: '',
		tests: ['test/process/membership/urgent-news.test.ts'],
	},
	{
		guard: 'verification before reuse',
		file: 'src/connection/upstream-host.ts',
		from: 'idle === undefined || this.#now() - idle.lastByteAt < verifyAfterIdleMs',
		to: 'idle === undefined || true',
		tests: connections,
	},
	{
		guard: 'silent busy connections',
		file: 'src/connection/upstream-host.ts',
		from: 'if (closed.length + silentSiblings.length > 0) {',
		to: 'if (closed.length > 1e9) {',
		tests: connections,
	},
	{
		guard: 'slow is not silent',
		file: 'src/connection/upstream-host.ts',
		from: '(connection.isOverdue || connection.isPresumedSilent || connection.openedAt <= presumedSilentUpTo)',
		to: 'true',
		tests: connections,
	},
	{
		guard: 'balancer delay',
		file: 'src/process/lifecycle.ts',
		from: 'await delay(balancerDelayMs);',
		to: '',
		tests: lifecycle,
	},
	{
		guard: 'second signal',
		file: 'src/process/cli/termination.ts',
		from: 'resolve();\n\t\t});',
		to: 'resolve();\n\t\t\tprocess.removeAllListeners(signal);\n\t\t});',
		tests: lifecycle,
	},
	{
		guard: 'requests in flight',
		file: 'src/process/lifecycle.ts',
		from: 'server.closeIdleConnections();',
		to: 'server.closeAllConnections();',
		tests: lifecycle,
	},
	{
		guard: 'open request: send that has not ended',
		file: openRequest,
		from: 'this.#openSends > 0 ||',
		to: '',
		tests: requestModel,
	},
	{
		guard: 'open request: ended send that may have run',
		file: openRequest,
		from: '+= mayHaveRun ? 1 : 0;',
		to: '+= mayHaveRun ? 0 : 0;',
		tests: requestModel,
	},
	{
		guard: 'open request: no send after the end',
		file: openRequest,
		from: 'if (this.#outcome !== undefined) {\n\t\t\treturn false;',
		to: 'if (this.#outcome === \'connectionClosing\') {\n\t\t\treturn false;',
		tests: requestModel,
	},
	{
		guard: 'open request: visible cut',
		file: openRequest,
		from: 'this.#answer.abort();',
		to: '',
		tests: requestModel,
	},
	{
		guard: 'open request: overdue delivery',
		file: 'src/process/fleet/route-request-handler.ts',
		from: 'const overdueMs = 200;',
		to: 'const overdueMs = 2000;',
		tests: requestModel,
	},
	{
		guard: 'open request: answer after a fault',
		file: 'src/process/fleet/route-request-handler.ts',
		from: 'open[Symbol.dispose]();',
		to: 'response.destroy();',
		tests: requestModel,
	},
];
