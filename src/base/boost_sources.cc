// The single translation unit that compiles Boost.Asio and Boost.Beast. Every
// other file sees declarations only, which halves its compile time.

#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
