// Reads /proc. A connection belongs to the process if its inode is one of the process's descriptors, or if it
// has none and its local port is one on which the process listens.

#include "tests/support/process_usage.h"

#include <boost/filesystem.hpp>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <unistd.h>
#include <vector>

namespace mimosahub::testing
{

namespace
{

namespace filesystem = boost::filesystem;

constexpr auto kPeriod = std::chrono::milliseconds(20);
constexpr std::size_t kBytesPerKib = 1024;

std::string folderOf(int pid)
{
    return "/proc/" + std::to_string(pid);
}

/// What the process's descriptors refer to, such as "socket:[4711]".
std::vector<std::string> descriptorTargets(int pid)
{
    std::vector<std::string> targets;
    boost::system::error_code ec;
    filesystem::directory_iterator it(folderOf(pid) + "/fd", ec);
    for (; !ec && it != filesystem::directory_iterator(); it.increment(ec)) {
        boost::system::error_code gone;
        targets.push_back(filesystem::read_symlink(it->path(), gone).string());
    }
    return targets;
}

/// One line of /proc/net/tcp.
struct ConnectionLine {
    std::string localPort;
    std::string state;
    std::size_t queued = 0; ///< Bytes, of both queues.
    std::string inode;
};

constexpr std::string_view kListening = "0A";

bool parseLine(const std::string &text, ConnectionLine &line)
{
    std::istringstream in(text);
    std::string number;
    std::string local;
    std::string remote;
    std::string queues;
    std::string skipped;
    in >> number >> local >> remote >> line.state >> queues;
    for (int i = 0; i < 4; ++i) {
        in >> skipped;
    }
    in >> line.inode;
    const auto colon = queues.find(':');
    if (!in || colon == std::string::npos || local.find(':') == std::string::npos) {
        return false;
    }
    constexpr int kHex = 16;
    line.localPort = local.substr(local.find(':') + 1);
    line.queued =
        std::stoul(queues.substr(0, colon), nullptr, kHex) + std::stoul(queues.substr(colon + 1), nullptr, kHex);
    return true;
}

std::size_t kernelBytes(const std::set<std::string> &inodes)
{
    std::ifstream in("/proc/net/tcp");
    std::string text;
    std::getline(in, text); // The names of the columns.
    std::vector<ConnectionLine> lines;
    std::set<std::string> listening;
    while (std::getline(in, text)) {
        ConnectionLine line;
        if (!parseLine(text, line)) {
            continue;
        }
        if (line.state != kListening) {
            lines.push_back(line);
        } else if (inodes.contains(line.inode)) {
            listening.insert(line.localPort);
        }
    }
    std::size_t bytes = 0;
    for (const auto &line : lines) {
        const bool own = inodes.contains(line.inode) || (line.inode == "0" && listening.contains(line.localPort));
        bytes += own ? line.queued : 0;
    }
    return bytes;
}

} // namespace

ProcessUsage ProcessUsage::of(int pid)
{
    ProcessUsage usage;
    std::set<std::string> inodes;
    constexpr std::string_view kSocket = "socket:[";
    for (const auto &target : descriptorTargets(pid)) {
        ++usage.descriptors;
        if (target.starts_with(kSocket)) {
            inodes.insert(target.substr(kSocket.size(), target.size() - kSocket.size() - 1));
        }
    }
    usage.kernel = kernelBytes(inodes);
    std::ifstream in(folderOf(pid) + "/statm");
    std::size_t all = 0;
    std::size_t pages = 0;
    in >> all >> pages;
    usage.resident = pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
    return usage;
}

std::size_t peakResident(int pid)
{
    std::ifstream in(folderOf(pid) + "/status");
    std::string word;
    while (in >> word && word != "VmHWM:") { }
    std::size_t kib = 0;
    in >> kib;
    return kib * kBytesPerKib;
}

UsagePeaks::UsagePeaks(int pid) : m_pid(pid)
{
    m_thread = std::thread([this] {
        while (!m_stopping) {
            look();
            std::this_thread::sleep_for(kPeriod);
        }
    });
}

UsagePeaks::~UsagePeaks()
{
    m_stopping = true;
    m_thread.join();
}

void UsagePeaks::look()
{
    const auto usage = ProcessUsage::of(m_pid);
    m_memory = std::max<std::size_t>(m_memory, usage.memory());
    m_kernel = std::max<std::size_t>(m_kernel, usage.kernel);
    m_descriptors = std::max<std::size_t>(m_descriptors, usage.descriptors);
}

} // namespace mimosahub::testing
