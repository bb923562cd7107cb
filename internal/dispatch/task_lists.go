package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"
)

// The lists of runs in the row of a job.
//
// The row of an accepted job must fit into the store for the whole life of the job,
// whatever takeovers and failures do to the numbers of its runs. The lists therefore
// don't name the tasks. The tasks of a job are numbered by occurrence, step and index,
// and a list has one item for each task that is in it:
//
//	[GAP+]ITEM[xCOUNT]
//
// GAP is the number of tasks before it that are not in the list. COUNT is the number
// of consecutive tasks with the same item. For example "1x3720 2+2001x278" lists the
// tasks 0 to 3719 with run 1 and the tasks 3722 to 3999 with run 2001.

// maxRowTasks bounds the tasks in a list, and their numbers, so that a malformed row
// can't exhaust the memory. Stored jobs have fewer tasks, see MaxStoredTasks.
const maxRowTasks = 1 << 16

// taskNumbers numbers the tasks of a job.
type taskNumbers struct {
	counts []int // tasks of each step
	first  []int // number of the first task of each step in occurrence 0
	total  int   // tasks of one occurrence
}

// numberTasks numbers the tasks of a job whose steps have the given numbers of tasks.
func numberTasks(counts []int) (taskNumbers, error) {
	tn := taskNumbers{counts: counts}
	for _, count := range counts {
		if count < 1 || count > maxRowTasks-tn.total {
			return taskNumbers{}, fmt.Errorf("steps of %v tasks are not those of a stored job", counts)
		}
		tn.first = append(tn.first, tn.total)
		tn.total += count
	}
	return tn, nil
}

// number returns the number of the task with the given name, see taskName.
func (tn taskNumbers) number(name string) (int, bool) {
	at, ok := parseTaskID(TaskID("." + name))
	if !ok || at.step >= len(tn.counts) || at.idx >= tn.counts[at.step] || at.occ >= maxRowTasks/tn.total {
		return 0, false
	}
	return at.occ*tn.total + tn.first[at.step] + at.idx, true
}

// name returns the name of the task with the given number.
func (tn taskNumbers) name(num int) string {
	occ, rest := num/tn.total, num%tn.total
	step := sort.SearchInts(tn.first, rest+1) - 1
	return strconv.Itoa(occ) + "." + strconv.Itoa(step) + "." + strconv.Itoa(rest-tn.first[step])
}

// encodeList encodes the items of some tasks. It returns false if a name is not that
// of a task of the job.
func encodeList[T any](tn taskNumbers, byTask map[string]T, format func(val T) string) (string, bool) {
	type numbered struct {
		num  int
		item string
	}
	list := make([]numbered, 0, len(byTask))
	for name, val := range byTask {
		num, ok := tn.number(name)
		if !ok {
			return "", false
		}
		list = append(list, numbered{num: num, item: format(val)})
	}
	slices.SortFunc(list, func(a, b numbered) int { return cmp.Compare(a.num, b.num) })
	var text []byte
	next := 0
	for len(list) > 0 {
		count := 1
		for count < len(list) && list[count] == (numbered{num: list[0].num + count, item: list[0].item}) {
			count++
		}
		if len(text) > 0 {
			text = append(text, ' ')
		}
		if gap := list[0].num - next; gap > 0 {
			text = append(strconv.AppendInt(text, int64(gap), 10), '+')
		}
		text = append(text, list[0].item...)
		if count > 1 {
			text = strconv.AppendInt(append(text, 'x'), int64(count), 10)
		}
		next = list[0].num + count
		list = list[count:]
	}
	return string(text), true
}

// decodeList is the inverse of encodeList.
func decodeList[T any](tn taskNumbers, text string, parse func(item string) (T, error)) (map[string]T, error) {
	if text == "" {
		return nil, nil
	}
	byTask := map[string]T{}
	next := 0
	for part := range strings.SplitSeq(text, " ") {
		gap, count, item := 0, 1, part
		var err error
		if before, rest, ok := strings.Cut(item, "+"); ok {
			gap, err = strconv.Atoi(before)
			item = rest
		}
		if rest, after, ok := strings.Cut(item, "x"); ok && err == nil {
			count, err = strconv.Atoi(after)
			item = rest
		}
		if err != nil {
			return nil, fmt.Errorf("list of tasks: %q: %w", part, err)
		}
		if gap < 0 || gap > maxRowTasks || count < 1 || count > maxRowTasks || next+gap+count > maxRowTasks {
			return nil, fmt.Errorf("list of tasks: with %q they are more than %d", part, maxRowTasks)
		}
		val, err := parse(item)
		if err != nil {
			return nil, fmt.Errorf("list of tasks: %q: %w", part, err)
		}
		for next += gap; count > 0; count-- {
			byTask[tn.name(next)] = val
			next++
		}
	}
	return byTask, nil
}

func formatRun(run Run) string { return strconv.FormatInt(int64(run), 10) }

func parseRun(item string) (Run, error) {
	run, err := strconv.ParseInt(item, 10, 64)
	return Run(run), err
}

// failedRuns is the item of a task in the list of failed runs, RUN[,RUN...][/BEFORE].
type failedRuns struct {
	runs   []Run
	before int // see JobRecord.FailsBefore
}

func (fr failedRuns) format() string {
	var text []byte
	for num, run := range fr.runs {
		if num > 0 {
			text = append(text, ',')
		}
		text = strconv.AppendInt(text, int64(run), 10)
	}
	if fr.before > 0 {
		text = strconv.AppendInt(append(text, '/'), int64(fr.before), 10)
	}
	return string(text)
}

func parseFailedRuns(item string) (failedRuns, error) {
	var fr failedRuns
	runs, before, ok := strings.Cut(item, "/")
	if ok {
		var err error
		if fr.before, err = strconv.Atoi(before); err != nil {
			return failedRuns{}, err
		}
	}
	for text := range strings.SplitSeq(runs, ",") {
		run, err := parseRun(text)
		if err != nil {
			return failedRuns{}, err
		}
		fr.runs = append(fr.runs, run)
	}
	return fr, nil
}
